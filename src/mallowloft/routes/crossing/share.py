"""The share of first attempts that may go to one other failure domain."""

import dataclasses
import enum

STEP_INTERVAL_S = 0.5
# Bounds of one step. A share falls faster than it rises, because the callers of
# the other domain come first.
_MAX_RISE = 0.1
_MAX_FALL = 0.2
_MIN_STEP = 0.02
# The first rise of a share may be larger if the advantage is over
# _LARGE_ADVANTAGE: an instance that restarts under overload has no history.
_MAX_FIRST_RISE = 0.3
_LARGE_ADVANTAGE = 1.0
# The share rises above the first and falls below the second advantage.
_RISE_ADVANTAGE = 0.2
_FALL_ADVANTAGE = 0.1
# Step per unit of advantage beyond the threshold. All instances see about the
# same and act on observations that are up to a second old, so full steps near
# the thresholds would oscillate.
_GAIN = 0.4
# Waiting requests per slot of the other domain. At the first value its own
# callers wait for a quarter of a service time, and the share falls; it rises
# only below the second.
_FALL_WAITING = 0.25
_RISE_WAITING = 0.1
# Rejected share of the attempts in the other domain above which the share
# falls.
_FALL_REJECTED = 0.02
# Observations below which the share does not rise.
_MIN_WEIGHT = 4.0


class Reason(enum.StrEnum):
    """Why a share changed."""

    CHEAPER = "cheaper"
    DEARER = "dearer"
    WAITING = "waiting_there"
    REJECTED = "rejected_there"
    CUT_OFF = "cut_off"


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """What one step compares.

    Attributes:
        here_ms: Expected duration of an attempt in the own failure domain.
        there_ms: The same in the other one, with round trip and price.
        age_ms: Age of the newest observation of the other one; -1 if there is
            none.
        weight: Number of recent observations in the own failure domain.
        waiting_per_slot: Waiting requests that replicas there state, per slot.
        rejected_share: Share of the attempts that replicas there rejected.
        reachable: Whether the other failure domain is not cut off.
    """

    here_ms: float
    there_ms: float
    age_ms: float = -1.0
    weight: float = _MIN_WEIGHT
    waiting_per_slot: float = 0.0
    rejected_share: float = 0.0
    reachable: bool = True

    @property
    def advantage(self) -> float:
        """By how much longer it takes here, as a share of the time there."""
        return self.here_ms / max(1e-3, self.there_ms) - 1.0


class ShareController:
    """Moves one share in bounded steps.

    Attributes:
        share: Share of first attempts that may cross.
        inputs: Inputs of the last step, None before the first.
    """

    __slots__ = ("_due_s", "_moved", "inputs", "share")

    def __init__(self, first_due_s: float) -> None:
        """Creates a share of 0.

        Args:
            first_due_s: Loop time of the first regular step. Instances draw it
                at random, so that they do not step at the same time.
        """
        self.share = 0.0
        self.inputs: Inputs | None = None
        self._due_s = first_due_s
        self._moved = False

    def due(self, now_s: float) -> bool:
        """Whether a step is due."""
        return now_s >= self._due_s

    def cut_off(self) -> bool:
        """Ends all crossing by share; returns whether there was any."""
        changed = self.share > 0.0
        self.share = 0.0
        # A domain that returns gets its share by regular steps.
        self._moved = True
        return changed

    def step(self, inputs: Inputs, now_s: float) -> Reason | None:
        """Moves the share if the inputs call for it.

        Args:
            inputs: What is known of both failure domains.
            now_s: Current loop time.

        Returns:
            Why the share changed, None if it did not.
        """
        self._due_s = now_s + STEP_INTERVAL_S
        self.inputs = inputs
        previous = self.share
        change, reason = self._change(inputs)
        self.share = min(1.0, max(0.0, previous + change))
        if self.share < 1e-6:
            self.share = 0.0
        if self.share == previous:
            return None
        self._moved = True
        return reason

    def _change(self, inputs: Inputs) -> tuple[float, Reason]:
        if not inputs.reachable:
            return -1.0, Reason.CUT_OFF
        advantage = inputs.advantage
        if inputs.rejected_share > _FALL_REJECTED:
            excess = inputs.rejected_share - _FALL_REJECTED
            return -_bounded(excess, _MAX_FALL), Reason.REJECTED
        if inputs.waiting_per_slot > _FALL_WAITING:
            excess = inputs.waiting_per_slot - _FALL_WAITING
            return -_bounded(excess, _MAX_FALL), Reason.WAITING
        if advantage < _FALL_ADVANTAGE:
            excess = _FALL_ADVANTAGE - advantage
            return -_bounded(excess, _MAX_FALL), Reason.DEARER
        if (
            advantage > _RISE_ADVANTAGE
            and inputs.weight >= _MIN_WEIGHT
            and inputs.waiting_per_slot < _RISE_WAITING
        ):
            is_first = not self._moved and advantage > _LARGE_ADVANTAGE
            largest = _MAX_FIRST_RISE if is_first else _MAX_RISE
            excess = advantage - _RISE_ADVANTAGE
            return _bounded(excess, largest), Reason.CHEAPER
        return 0.0, Reason.CHEAPER


def _bounded(excess: float, largest: float) -> float:
    """Returns the size of a step for what exceeds a threshold."""
    return min(largest, max(_MIN_STEP, _GAIN * excess))
