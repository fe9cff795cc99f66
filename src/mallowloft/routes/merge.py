"""Merges parts of fixed-size records, keeping the greatest in byte order."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Splits a part into records, ignoring a shorter remainder."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, end, RECORD_BYTES)
    ]


def greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all parts, greatest first."""
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(count, records))
