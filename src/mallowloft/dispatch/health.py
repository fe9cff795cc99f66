"""Tracks the health of one replica by the outcomes of its calls; no I/O."""

import collections
import enum
import math

_MAX_OUTCOMES = 20
_MIN_OUTCOMES = 5
_EJECTION_ERROR_SHARE = 0.5
# During ramp-up, a replica is ejected after at least this many errors, if they
# are also at least `_EJECTION_ERROR_SHARE` of the outcomes. A single error
# may be random.
_RAMP_UP_EJECTION_ERRORS = 2
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 8.0
# If this long has passed since the last ramp-up started, or since creation, the
# next ejection has the shortest duration again.
_EJECTION_RESET_S = 10.0
_RAMP_UP_S = 5.0
_RAMP_UP_START_SHARE = 0.1
_MIN_STALL_TIMEOUT_S = 0.1
_STALL_TIMEOUT_FACTOR = 20.0
# Stall timeout until the first call succeeds. Without a known service time, a
# slow service cannot be told from a stall.
_INITIAL_STALL_TIMEOUT_S = 1.0
_TRIAL_INTERVAL_S = 1.0
# Ratio of the recent service time to the baseline above which a replica counts
# as slow. Normal service times vary by a factor of two.
_SLOW_FACTOR = 3.0
_BASELINE_WEIGHT = 1 / 256
# Weight while the replica is slow. It is small, so that only a lasting change
# of the service time becomes the new baseline.
_SLOW_BASELINE_WEIGHT = 1 / 4096
_EXCESS_DECAY_S = 2.0


class State(enum.Enum):
    """Health state of a replica.

    EJECTED and STALLED replicas get one call at a time. A shard without other
    replicas can then still be served, and a recovery is detected.
    """

    HEALTHY = "healthy"
    RAMPING = "ramping"
    EJECTED = "ejected"
    STALLED = "stalled"


class CallHealth:
    """Tracks ejection, ramp-up, stalls and excess service time of a replica.

    Answers of the health endpoint do not change the state. They only allow
    the next trial call to a stalled replica without further delay.
    """

    def __init__(self, now_s: float) -> None:
        self.state = State.HEALTHY
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        # Not updated when a ramp-up ends.
        self._state_changed_s = now_s
        self._ejected_until_s = now_s
        self._next_ejection_s = _MIN_EJECTION_S
        self._next_trial_s = now_s
        self._baseline_service_s = 0.0
        self._recent_service_s = 0.0
        self._last_sample_s = now_s

    def start_ramp_up(self, now_s: float) -> None:
        """Starts a ramp-up, for a replica that has started or returned."""
        self._change_state(State.RAMPING, now_s)

    def on_success(self, service_s: float, now_s: float) -> None:
        """Records a successful call."""
        self._outcomes.append(True)
        self._add_sample(service_s, now_s)
        stalled = self.state is State.STALLED
        if stalled or (self.state is State.EJECTED and self._has_recovered()):
            self._change_state(State.RAMPING, now_s)

    def on_error(self, now_s: float) -> None:
        """Records a call that failed because of the replica."""
        self._outcomes.append(False)
        if self.state in (State.EJECTED, State.STALLED):
            return
        if self._should_eject():
            if now_s - self._state_changed_s > _EJECTION_RESET_S:
                self._next_ejection_s = _MIN_EJECTION_S
            self._change_state(State.EJECTED, now_s)
            self._ejected_until_s = now_s + self._next_ejection_s
            self._next_ejection_s = min(
                _MAX_EJECTION_S, 2 * self._next_ejection_s
            )

    def on_stall(self, now_s: float) -> None:
        """Records that the replica has stopped answering calls."""
        self._change_state(State.STALLED, now_s)
        self._next_trial_s = now_s + _TRIAL_INTERVAL_S

    def on_probe_answered(self, now_s: float) -> None:
        """Records an answer of the health endpoint."""
        if self.state is State.STALLED:
            self._next_trial_s = min(self._next_trial_s, now_s)

    def try_start_trial(self, now_s: float) -> bool:
        """Returns whether a trial call is due, and schedules the next one."""
        if now_s < self._next_trial_s:
            return False
        self._next_trial_s = now_s + _TRIAL_INTERVAL_S
        return True

    def update(self, now_s: float) -> State:
        """Applies timed state changes and returns the state."""
        if self.state is State.EJECTED and now_s >= self._ejected_until_s:
            self._change_state(State.RAMPING, now_s)
        if (
            self.state is State.RAMPING
            and now_s - self._state_changed_s >= _RAMP_UP_S
        ):
            self.state = State.HEALTHY
        return self.state

    def in_flight_share(self, now_s: float) -> float:
        """Returns the allowed share of the limit of calls in flight."""
        state = self.update(now_s)
        if state is State.HEALTHY:
            return 1.0
        if state is State.RAMPING:
            share = (now_s - self._state_changed_s) / _RAMP_UP_S
            return _RAMP_UP_START_SHARE + (1.0 - _RAMP_UP_START_SHARE) * share
        return 0.0

    def stall_timeout_s(self) -> float:
        """Returns the time without a reply after which a replica is stalled."""
        if not self._baseline_service_s:
            return _INITIAL_STALL_TIMEOUT_S
        return max(
            _MIN_STALL_TIMEOUT_S, _STALL_TIMEOUT_FACTOR * self._recent_service_s
        )

    def avoidance_remaining_s(self, now_s: float) -> float:
        """Returns how long senders should prefer other replicas."""
        state = self.update(now_s)
        if state is State.EJECTED:
            return self._ejected_until_s - now_s
        if state is State.STALLED:
            return max(0.0, self._next_trial_s - now_s)
        return 0.0

    def excess_service_s(self, now_s: float) -> float:
        """Returns the excess of the recent service time over the baseline.

        The excess decays while there are no calls, so that a replica that was
        avoided is tried again after its recovery.
        """
        if self._recent_service_s <= _SLOW_FACTOR * self._baseline_service_s:
            return 0.0
        decay = math.exp((self._last_sample_s - now_s) / _EXCESS_DECAY_S)
        return (self._recent_service_s - self._baseline_service_s) * decay

    def _change_state(self, state: State, now_s: float) -> None:
        self.state = state
        self._state_changed_s = now_s
        self._outcomes.clear()

    def _has_recovered(self) -> bool:
        return len(self._outcomes) >= _MIN_OUTCOMES and all(self._outcomes)

    def _should_eject(self) -> bool:
        errors = self._outcomes.count(False)
        if self.state is State.RAMPING:
            return (
                errors >= _RAMP_UP_EJECTION_ERRORS
                and errors >= _EJECTION_ERROR_SHARE * len(self._outcomes)
            )
        return len(
            self._outcomes
        ) >= _MIN_OUTCOMES and errors >= _EJECTION_ERROR_SHARE * len(
            self._outcomes
        )

    def _add_sample(self, service_s: float, now_s: float) -> None:
        self._last_sample_s = now_s
        if not self._baseline_service_s:
            self._baseline_service_s = self._recent_service_s = service_s
        self._recent_service_s += (service_s - self._recent_service_s) / 8
        weight = _BASELINE_WEIGHT
        if self._recent_service_s > _SLOW_FACTOR * self._baseline_service_s:
            weight = _SLOW_BASELINE_WEIGHT
        self._baseline_service_s += (
            service_s - self._baseline_service_s
        ) * weight
