"""State of one replica from the outcomes of its calls; no I/O."""

import collections
import enum
import math

_OUTCOMES = 20
_MIN_OUTCOMES = 5
_ERROR_SHARE = 0.5
# After an ejection two errors in a row suffice, one may be chance.
_RAMP_ERRORS = 2
_EJECTION_S = 1.0
_EJECTION_MAX_S = 8.0
# A replica that stays healthy this long is ejected for the short time again.
_FORGIVE_S = 10.0
_RAMP_S = 5.0
_RAMP_START = 0.1
_STALL_MIN_S = 0.1
_STALL_FACTOR = 20.0
# As long as no call was answered, a slow service looks like a stall.
_STALL_UNKNOWN_S = 1.0
_TRIAL_INTERVAL_S = 1.0
# Only a clear outlier counts as slow; service times vary by a factor of two.
_SLOW_FACTOR = 3.0
_BASELINE_WEIGHT = 1 / 256
# A real and lasting change of the service time becomes the new baseline.
_SLOW_BASELINE_WEIGHT = 1 / 4096
_SLOW_MEMORY_S = 2.0


class State(enum.Enum):
    """What the dispatcher does with a replica.

    EJECTED and STALLED replicas get single calls, so that a shard without
    another replica is still served where possible and recovery is noticed.
    """

    HEALTHY = "healthy"
    RAMPING = "ramping"
    EJECTED = "ejected"
    STALLED = "stalled"


class ReplicaHealth:
    """Ejection, ramp-up, stall and slowness of one replica.

    The health endpoint has no part in the state, except that an answer makes
    the next trial of a stalled replica due.
    """

    def __init__(self, now_s: float) -> None:
        self.state = State.HEALTHY
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=_OUTCOMES
        )
        self._since_s = now_s
        self._until_s = now_s
        self._ejection_s = _EJECTION_S
        self._trial_s = now_s
        self._baseline_s = 0.0
        self._recent_s = 0.0
        self._measured_s = now_s

    def start_cold(self, now_s: float) -> None:
        """Ramps up a replica that has just started."""
        self._enter(State.RAMPING, now_s)

    def on_ok(self, service_s: float, now_s: float) -> None:
        """Notes a call that was answered."""
        self._outcomes.append(True)
        self._measure(service_s, now_s)
        stalled = self.state is State.STALLED
        if stalled or (self.state is State.EJECTED and self._recovered()):
            self._enter(State.RAMPING, now_s)

    def on_error(self, now_s: float) -> None:
        """Notes a call that failed for a reason of the replica."""
        self._outcomes.append(False)
        if self.state in (State.EJECTED, State.STALLED):
            return
        if self._too_many_errors():
            if now_s - self._since_s > _FORGIVE_S:
                self._ejection_s = _EJECTION_S
            self._enter(State.EJECTED, now_s)
            self._until_s = now_s + self._ejection_s
            self._ejection_s = min(_EJECTION_MAX_S, 2 * self._ejection_s)

    def on_stall(self, now_s: float) -> None:
        """Notes that nothing in flight is answered any more."""
        self._enter(State.STALLED, now_s)
        self._trial_s = now_s + _TRIAL_INTERVAL_S

    def on_probe_answered(self, now_s: float) -> None:
        """Notes an answer of the health endpoint."""
        if self.state is State.STALLED:
            self._trial_s = min(self._trial_s, now_s)

    def take_trial(self, now_s: float) -> bool:
        """Whether a stalled replica may get a call now."""
        if now_s < self._trial_s:
            return False
        self._trial_s = now_s + _TRIAL_INTERVAL_S
        return True

    def update(self, now_s: float) -> State:
        """Moves on with time and returns the state."""
        if self.state is State.EJECTED and now_s >= self._until_s:
            self._enter(State.RAMPING, now_s)
        if self.state is State.RAMPING and now_s - self._since_s >= _RAMP_S:
            self.state = State.HEALTHY
        return self.state

    def allowance(self, now_s: float) -> float:
        """Returns the share of the usual calls in flight that is allowed."""
        state = self.update(now_s)
        if state is State.HEALTHY:
            return 1.0
        if state is State.RAMPING:
            share = (now_s - self._since_s) / _RAMP_S
            return _RAMP_START + (1.0 - _RAMP_START) * share
        return 0.0

    def stall_after_s(self) -> float:
        """Returns how long no call may be answered before it is a stall."""
        if not self._baseline_s:
            return _STALL_UNKNOWN_S
        return max(_STALL_MIN_S, _STALL_FACTOR * self._recent_s)

    def avoid_s(self, now_s: float) -> float:
        """Returns how long entries should prefer other replicas."""
        state = self.update(now_s)
        if state is State.EJECTED:
            return self._until_s - now_s
        if state is State.STALLED:
            return max(0.0, self._trial_s - now_s)
        return 0.0

    def excess_s(self, now_s: float) -> float:
        """Returns by how much the replica is slower than it used to be.

        The excess fades without calls, so that a recovered replica that is
        avoided is tried again.
        """
        if self._recent_s <= _SLOW_FACTOR * self._baseline_s:
            return 0.0
        fade = math.exp((self._measured_s - now_s) / _SLOW_MEMORY_S)
        return (self._recent_s - self._baseline_s) * fade

    def _enter(self, state: State, now_s: float) -> None:
        self.state = state
        self._since_s = now_s
        self._outcomes.clear()

    def _recovered(self) -> bool:
        return len(self._outcomes) >= _MIN_OUTCOMES and all(self._outcomes)

    def _too_many_errors(self) -> bool:
        errors = self._outcomes.count(False)
        if self.state is State.RAMPING:
            return errors >= _RAMP_ERRORS and errors >= _ERROR_SHARE * len(
                self._outcomes
            )
        return len(
            self._outcomes
        ) >= _MIN_OUTCOMES and errors >= _ERROR_SHARE * len(self._outcomes)

    def _measure(self, service_s: float, now_s: float) -> None:
        self._measured_s = now_s
        if not self._baseline_s:
            self._baseline_s = self._recent_s = service_s
        self._recent_s += (service_s - self._recent_s) / 8
        weight = _BASELINE_WEIGHT
        if self._recent_s > _SLOW_FACTOR * self._baseline_s:
            weight = _SLOW_BASELINE_WEIGHT
        self._baseline_s += (service_s - self._baseline_s) * weight
