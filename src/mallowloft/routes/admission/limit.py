"""Limit of running requests that adapts to signs of overload; no I/O."""

from collections.abc import Iterable
import math
import weakref

from mallowloft.routes import limits

# Sixteen times the floor. Even instances that gather for a whole fleet run
# fewer requests at usual load.
INITIAL_LIMIT = 64.0
MIN_LIMIT = 4.0
# A replica's reply shows the effect of a change of the limit after about one
# attempt, which takes some 10 ms, or 90 ms on slow routes.
_INTERVAL_S = 0.1
_DECREASE_FACTOR = 0.8
# Factor for signs that precede a loss of requests. A smaller one leaves slots
# of the replicas idle at times.
_EARLY_DECREASE_FACTOR = 0.9
_EARLY_SIGNS = ("waiting", "slow")
_INCREASE_STEP = 1.0
# Replicas with a queue of 12 requests reject when the limit is too high by far;
# a few rejections also occur after pauses of replicas.
_MAX_REJECTED_SHARE = 0.05
# A longer queue at the replicas keeps more slots busy, but makes the requests
# of the most urgent class late, since the replicas do not know of ranks.
_MAX_WAITING_PER_SLOT = 0.75
# Above it, the limit does not rise, because the slots are mostly busy.
_RISING_WAITING_PER_SLOT = 0.5
# Duration relative to the duration without load that is a sign of overload.
_MAX_SLOWDOWN = 3.0
# Shorter durations are not a sign of overload: they leave enough time.
_MIN_SLOW_OBJECTIVE_SHARE = 0.25
# Share by which the duration without load follows a longer median in one
# interval, so that it adapts to a change of the service within minutes.
_DRIFT = 0.002
# With replies of fewer replicas, one faulty replica could be the median.
_MIN_REPLICAS = 3
# With replies of fewer of the replicas that replied before, the interval may
# contain only the late replies of replicas that pause.
_MIN_REPLICA_SHARE = 0.5
_REPLICA_COUNT_DECAY = 0.98
_MAX_WINDOW_S = 1.0


class _ReplicaWindow:
    """Replies of one replica in the current interval."""

    __slots__ = ("count", "rejected", "waiting_per_slot")

    def __init__(self) -> None:
        self.count = 0
        self.rejected = 0
        self.waiting_per_slot = 0.0


def _upper_median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0


class Slowdown:
    """Compares the medians of routes with their medians without load."""

    def __init__(self) -> None:
        self._unloaded_s: weakref.WeakKeyDictionary[
            limits.RouteLatency, tuple[float, float]
        ] = weakref.WeakKeyDictionary()

    def watch(self, latency: limits.RouteLatency, objective_s: float) -> None:
        """Adds a route."""
        if latency not in self._unloaded_s:
            self._unloaded_s[latency] = (latency.median_s, objective_s)

    def update(self, loaded: bool) -> bool:
        """Follows the medians.

        Args:
            loaded: Whether there is another sign of overload.

        Returns:
            Whether a route is slow.
        """
        slow = False
        for latency, (unloaded_s, objective_s) in list(
            self._unloaded_s.items()
        ):
            median_s = latency.median_s
            threshold_s = max(
                _MAX_SLOWDOWN * unloaded_s,
                _MIN_SLOW_OBJECTIVE_SHARE * objective_s,
            )
            slow = slow or median_s > threshold_s
            if median_s < unloaded_s:
                unloaded_s = median_s
            elif not loaded:
                unloaded_s += _DRIFT * (median_s - unloaded_s)
            self._unloaded_s[latency] = (unloaded_s, objective_s)
        return slow


class AdaptiveLimit:
    """Additive increase, multiplicative decrease of a limit.

    Attributes:
        value: The limit.
        reason: Sign of overload found last; empty if there was none.
        slowdown: Durations of the routes that use the limit.
    """

    def __init__(self) -> None:
        self.value = INITIAL_LIMIT
        self.reason = ""
        self.slowdown = Slowdown()
        self._windows_by_replica: dict[str, _ReplicaWindow] = {}
        self._window_start_s = -math.inf
        self._updated_s = -math.inf
        self._peak = 0
        # Largest number of replicas in an interval, decaying.
        self._replica_count = 0.0
        self._late = False

    def record_reply(
        self, replica: str, rejected: bool, waiting_per_slot: float
    ) -> None:
        """Records a reply of a replica.

        Args:
            replica: Id of the replica.
            rejected: Whether the replica rejected the request as full.
            waiting_per_slot: Waiting requests that it states per slot.
        """
        window = self._windows_by_replica.get(replica)
        if window is None:
            window = self._windows_by_replica[replica] = _ReplicaWindow()
        window.count += 1
        window.rejected += rejected
        window.waiting_per_slot += waiting_per_slot

    def record_running(self, running: int) -> None:
        """Records how many requests run."""
        self._peak = max(self._peak, running)

    def record_late_loop(self) -> None:
        """Records that the event loop is late."""
        self._late = True

    def update(self, running: int, now_s: float) -> None:
        """Adapts the limit, at most once in each interval.

        Args:
            running: Number of running requests.
            now_s: Current loop time.
        """
        since_s = now_s - self._updated_s
        if since_s < _INTERVAL_S:
            return
        windows = self._windows_by_replica.values()
        waiting = _upper_median(
            window.waiting_per_slot / window.count for window in windows
        )
        rejected = _upper_median(
            window.rejected / window.count for window in windows
        )
        self._replica_count = max(
            len(windows), self._replica_count * _REPLICA_COUNT_DECAY
        )
        enough = len(windows) >= max(
            _MIN_REPLICAS, _MIN_REPLICA_SHARE * self._replica_count
        )
        self.reason = ""
        if self._late:
            self.reason = "loop_late"
        elif enough and rejected > _MAX_REJECTED_SHARE:
            self.reason = "rejected"
        elif enough and waiting > _MAX_WAITING_PER_SLOT:
            self.reason = "waiting"
        if self.slowdown.update(bool(self.reason)) and enough:
            self.reason = self.reason or "slow"
        if self.reason:
            factor = (
                _EARLY_DECREASE_FACTOR
                if self.reason in _EARLY_SIGNS
                else _DECREASE_FACTOR
            )
            self.value = max(MIN_LIMIT, min(self.value, self._peak) * factor)
        elif not enough or waiting < _RISING_WAITING_PER_SLOT:
            steps = 1.0 if math.isinf(since_s) else since_s / _INTERVAL_S
            self.value = min(INITIAL_LIMIT, self.value + _INCREASE_STEP * steps)
        if enough or now_s - self._window_start_s > _MAX_WINDOW_S:
            self._windows_by_replica.clear()
            self._window_start_s = now_s
        self._updated_s = now_s
        self._peak = running
        self._late = False
