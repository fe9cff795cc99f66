"""Share of the choices that may prefer replicas of a returning domain.

Replicas that got no requests for a while may be slow at first: their caches are
empty, and connections have to be opened. If all instances returned at once,
such replicas would get their full load while they are slow.
"""

# Share at the start of the return, and the time after which it doubles.
_INITIAL_SHARE = 0.1
_STEP_S = 0.7
# Share of the domain's replicas that must be cold for a step to be repeated.
# Below it, the restart of single replicas would hold up the whole domain.
_MAX_COLD_SHARE = 0.1


class ReturnRamp:
    """Raises the share of a failure domain in steps.

    The caller passes the current loop time in seconds.

    Attributes:
        share: Share of choices for which replicas of the domain may be
            preferred, from 0.1 to 1.
    """

    __slots__ = ("_failed", "_step_due_s", "_succeeded", "share")

    def __init__(self, now_s: float) -> None:
        self.share = _INITIAL_SHARE
        self._step_due_s = now_s + _STEP_S
        self._succeeded = 0
        self._failed = 0

    @property
    def done(self) -> bool:
        """Whether the domain has its full share."""
        return self.share >= 1.0

    def record(self, good: bool) -> None:
        """Records an attempt at a replica of the domain.

        Args:
            good: Whether it was answered in about the usual time.
        """
        if good:
            self._succeeded += 1
        else:
            self._failed += 1

    def advance(self, now_s: float, cold_share: float) -> None:
        """Raises the share if a step is due and nothing holds it.

        Args:
            now_s: Current loop time.
            cold_share: Share of the domain's replicas that are cold.
        """
        if now_s < self._step_due_s or self.done:
            return
        held = cold_share >= _MAX_COLD_SHARE or self._failed > self._succeeded
        # A process that was paused makes one step, not several.
        self._step_due_s = now_s + _STEP_S
        self._succeeded = self._failed = 0
        if not held:
            self.share = min(1.0, 2 * self.share)
