"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def weight(candidate: str, key: str) -> int:
    """Returns the weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{candidate}\0{key}".encode())


def ranked(candidates: Iterable[str], key: str) -> list[str]:
    """Returns the candidates for a key by descending weight."""
    return sorted(
        candidates,
        key=lambda candidate: (weight(candidate, key), candidate),
        reverse=True,
    )


def first(candidates: Iterable[str], key: str) -> str | None:
    """Returns the candidate of the highest weight, None if there is none."""
    return max(
        candidates,
        key=lambda candidate: (weight(candidate, key), candidate),
        default=None,
    )
