"""Divides the receivers of a message into relay groups."""

from collections.abc import Iterable
import math
import random

# Up to this many receivers are addressed directly. A relay adds a hop, and if
# the message to the relay is lost, its whole group misses the message.
MAX_DIRECT_RECEIVERS = 32


def relay_groups(
    receivers: Iterable[str], rng: random.Random
) -> list[tuple[str, tuple[str, ...]]]:
    """Divides receivers into groups, each with one relay.

    Up to `MAX_DIRECT_RECEIVERS` receivers form a group each; more are divided
    into about sqrt(n) groups.

    Args:
        receivers: All instances that should receive the message.
        rng: Source of randomness, so that senders choose different relays.

    Returns:
        Pairs of a relay and the instances to which it forwards the message.
    """
    shuffled = list(receivers)
    rng.shuffle(shuffled)
    if len(shuffled) <= MAX_DIRECT_RECEIVERS:
        return [(receiver, ()) for receiver in shuffled]
    group_count = math.isqrt(len(shuffled))
    groups = [shuffled[start::group_count] for start in range(group_count)]
    return [(group[0], tuple(group[1:])) for group in groups]
