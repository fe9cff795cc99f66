"""Division of receivers into relay groups."""

from collections.abc import Iterable
import math
import random

# Up to this many receivers are sent to directly: a relay adds a hop and its
# loss loses a group.
DIRECT_RECEIVERS = 32


def relay_groups(
    receivers: Iterable[str], rng: random.Random
) -> list[tuple[str, tuple[str, ...]]]:
    """Divides receivers into about sqrt(n) groups, each with one relay.

    Args:
        receivers: All instances that a message is meant for.
        rng: Chooses the relays, so that two senders use different ones.

    Returns:
        Pairs of the instance to send to and those it passes the message to.
    """
    shuffled = list(receivers)
    rng.shuffle(shuffled)
    if len(shuffled) <= DIRECT_RECEIVERS:
        return [(receiver, ()) for receiver in shuffled]
    count = math.isqrt(len(shuffled))
    groups = [shuffled[start::count] for start in range(count)]
    return [(group[0], tuple(group[1:])) for group in groups]
