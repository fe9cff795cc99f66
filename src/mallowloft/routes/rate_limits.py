"""This instance's part of the request rate that a replica accepts.

The load it answers: a replica in need states how many requests per second it
accepts from all instances together. No instance sees the requests of the
others, so each one uses an equal part. It gets one permit in each interval. A
permit that is not used soon lapses; otherwise, in a large fleet, instances that
had been idle could use their permits at the same moment.

Instances draw at random when in the interval their permits are due, which
spreads them. One instance uses the same moment for all replicas, so that a
gathered request finds permits for all shards at once.
"""

from collections.abc import Iterable
import math

import msgspec

from mallowloft.routes import message_types

# A permit that is not used within this time lapses.
LAPSE_S = 0.5
# Rate that is used of a replica that accepts less. Without a request, no
# instance would hear that the replica accepts more again.
_MIN_PER_S = 0.25
# What was heard longer ago is not passed on to other instances.
_MAX_AGE_S = 30.0
# Limit on the statements in one message. They are the newest ones.
_MAX_STATEMENTS = 200


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What an instance last heard of the rate limit of a replica.

    Attributes:
        replica: Id of the replica.
        per_s: Requests per second that it accepts from all instances together;
            None if it states no limit any more.
        age_s: How long ago an instance heard it.
    """

    replica: message_types.Name
    per_s: message_types.PerSecond | None
    age_s: message_types.Seconds


def newest(statements: Iterable[Statement]) -> tuple[Statement, ...]:
    """Returns the statements that are passed on to other instances."""
    recent = (item for item in statements if item.age_s < _MAX_AGE_S)
    ordered = sorted(recent, key=lambda item: item.age_s)
    return tuple(ordered[:_MAX_STATEMENTS])


class StatementRegistry:
    """The newest statement of each replica that instances have reported.

    A restarted instance hears of limits from it before it asks a replica, and
    one that rarely asks a replica hears that its limit has ended.
    """

    def __init__(self) -> None:
        self._heard_by_replica: dict[str, tuple[float, float | None]] = {}

    def record(self, statements: Iterable[Statement], now_s: float) -> None:
        """Records reported statements and forgets old ones."""
        for item in statements:
            heard_s = now_s - item.age_s
            known_s, _ = self._heard_by_replica.get(
                item.replica, (-math.inf, 0)
            )
            if heard_s > known_s:
                self._heard_by_replica[item.replica] = (heard_s, item.per_s)
        self._heard_by_replica = {
            replica: heard
            for replica, heard in self._heard_by_replica.items()
            if now_s - heard[0] < _MAX_AGE_S
        }

    def statements(self, now_s: float) -> tuple[Statement, ...]:
        """Returns the newest statements."""
        return newest(
            Statement(replica, per_s, max(0.0, now_s - heard_s))
            for replica, (heard_s, per_s) in self._heard_by_replica.items()
        )


class RateLimit:
    """Permits of this instance for requests to one replica.

    The caller passes the current loop time in seconds.

    Attributes:
        per_s: Requests per second that the replica accepts from all instances
            together.
        stated_s: Loop time at which the replica last stated it.
        generation: Number of times that the rate has fallen.
    """

    __slots__ = (
        "_due_s",
        "_interval_s",
        "_lapse_s",
        "generation",
        "per_s",
        "stated_s",
    )

    def __init__(
        self,
        per_s: float,
        divisor: float,
        phase: float,
        now_s: float,
        lapse_s: float = LAPSE_S,
    ) -> None:
        """Creates a limit that has just become known.

        Args:
            per_s: Requests per second that the replica accepts.
            divisor: Number by which the rate is divided.
            phase: Part of the interval after which the first permit is due.
            now_s: Current loop time.
            lapse_s: Time within which a permit must be used.
        """
        self.per_s = per_s
        self.stated_s = now_s
        self.generation = 0
        self._lapse_s = lapse_s
        self._interval_s = _interval_s(per_s, divisor)
        # When the next permit is due.
        self._due_s = now_s + phase * self._interval_s

    def update(self, per_s: float, divisor: float, now_s: float) -> None:
        """Changes the rate or the divisor.

        The time until the next permit is scaled. If it were only shortened to
        the new interval, many instances would get a permit at one moment.
        """
        before_s, self._interval_s = (
            self._interval_s,
            _interval_s(per_s, divisor),
        )
        self.per_s = per_s
        if self._interval_s > before_s:
            self.generation += 1
        left_s = self._due_s - now_s
        if left_s > 0:
            self._due_s = now_s + left_s * self._interval_s / before_s

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a permit is available, 0 if one is."""
        self._drop_lapsed(now_s)
        return max(0.0, self._due_s - now_s)

    def take(self, now_s: float) -> None:
        """Takes a permit.

        A request that is sent although none is available takes the next one.
        """
        self._drop_lapsed(now_s)
        self._due_s += self._interval_s

    def _drop_lapsed(self, now_s: float) -> None:
        excess_s = now_s - self._lapse_s - self._due_s
        if excess_s > 0:
            lapsed = math.ceil(excess_s / self._interval_s)
            self._due_s += lapsed * self._interval_s


def _interval_s(per_s: float, divisor: float) -> float:
    return divisor / max(_MIN_PER_S, per_s)
