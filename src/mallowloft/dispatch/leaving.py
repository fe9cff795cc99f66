"""Which replicas are leaving, from several signals; no I/O."""

from collections.abc import Mapping
import enum
import math

# States in the platform's list and in health answers that mean leaving.
LEAVING_STATES = frozenset({"leaving", "draining", "stopping"})
# The owner repeats its notice; without it the replica counts as back.
PEER_LIFETIME_S = 12.0
REPEAT_S = 4.0
# A health endpoint that never admitted draining cannot show the end of it.
_REPLY_LIFETIME_S = 60.0


class Signal(enum.Enum):
    """Where it was learned that a replica leaves."""

    LIST = "list"
    CONFIGURATION = "configuration"
    HEALTH = "health"
    REPLY = "reply"
    PEER = "peer"


class LeavingReplicas:
    """Signals by replica; the first true one counts."""

    def __init__(self) -> None:
        self._expiry_by_replica: dict[str, dict[Signal, float]] = {}

    def note(self, replica: str, signal: Signal, now_s: float) -> bool:
        """Adds a signal; True if the replica was not leaving before."""
        known = self.is_leaving(replica, now_s)
        lifetime_s = math.inf
        if signal is Signal.PEER:
            lifetime_s = PEER_LIFETIME_S
        if signal is Signal.REPLY:
            lifetime_s = _REPLY_LIFETIME_S
        signals = self._expiry_by_replica.setdefault(replica, {})
        signals[signal] = now_s + lifetime_s
        return not known

    def clear(self, replica: str, signal: Signal) -> None:
        """Removes a signal."""
        self._expiry_by_replica.get(replica, {}).pop(signal, None)

    def end_health(self, replica: str) -> None:
        """Takes a health answer that does not say leaving.

        It ends the signal of replies only if the endpoint had admitted that
        the replica drains; one that never did may go on misleading.
        """
        signals = self._expiry_by_replica.get(replica, {})
        if signals.pop(Signal.HEALTH, None) is not None:
            signals.pop(Signal.REPLY, None)

    def is_leaving(self, replica: str, now_s: float) -> bool:
        """Whether any signal holds."""
        signals = self._expiry_by_replica.get(replica)
        return signals is not None and any(
            now_s < expiry_s for expiry_s in signals.values()
        )

    def current(self, now_s: float, own: bool = False) -> set[str]:
        """Returns the leaving replicas.

        Args:
            now_s: Current time.
            own: Only those for which a signal other than a peer's holds.
        """
        return {
            replica
            for replica, signals in self._expiry_by_replica.items()
            if any(
                now_s < expiry_s
                for signal, expiry_s in signals.items()
                if not own or signal is not Signal.PEER
            )
        }

    def follow(
        self,
        states_by_replica: Mapping[str, bool],
        signal: Signal,
        now_s: float,
    ) -> list[str]:
        """Takes a full account of one signal; returns what leaves newly."""
        new = []
        for replica in list(self._expiry_by_replica):
            if not states_by_replica.get(replica, False):
                self.clear(replica, signal)
        for replica, leaving in states_by_replica.items():
            if leaving and self.note(replica, signal, now_s):
                new.append(replica)
        return new

    def forget_expired(self, now_s: float) -> None:
        """Drops what no longer holds."""
        for replica, signals in list(self._expiry_by_replica.items()):
            for signal, expiry_s in list(signals.items()):
                if now_s >= expiry_s:
                    del signals[signal]
            if not signals:
                del self._expiry_by_replica[replica]

    def dump(self) -> dict[str, list[str]]:
        """Returns the signals of each leaving replica."""
        return {
            replica: sorted(signal.value for signal in signals)
            for replica, signals in self._expiry_by_replica.items()
        }
