"""Tracks which replicas are leaving, by several signals; no I/O."""

from collections.abc import Mapping
import enum
import math

# States in the platform's list and in health answers that mean that a replica
# is leaving.
LEAVING_STATES = frozenset({"leaving", "draining", "stopping"})
# The owner of a replica repeats `UpstreamLeaving` while it has a signal other
# than PEER. A PEER signal expires this long after the last `UpstreamLeaving`.
PEER_SIGNAL_LIFETIME_S = 12.0
NOTICE_REPEAT_INTERVAL_S = 4.0
# Replies that say draining need an expiry: a health endpoint that never reports
# draining cannot report that draining has ended.
_REPLY_SIGNAL_LIFETIME_S = 60.0


class Signal(enum.Enum):
    """Source of the information that a replica is leaving."""

    LIST = "list"
    CONFIGURATION = "configuration"
    HEALTH = "health"
    REPLY = "reply"
    PEER = "peer"


class LeavingReplicas:
    """Signals by replica; a replica is leaving while any signal is valid."""

    def __init__(self) -> None:
        self._expiries_s_by_replica: dict[str, dict[Signal, float]] = {}

    def add_signal(self, replica: str, signal: Signal, now_s: float) -> bool:
        """Adds a signal; returns whether the replica was not leaving before."""
        was_leaving = self.is_leaving(replica, now_s)
        lifetime_s = math.inf
        if signal is Signal.PEER:
            lifetime_s = PEER_SIGNAL_LIFETIME_S
        if signal is Signal.REPLY:
            lifetime_s = _REPLY_SIGNAL_LIFETIME_S
        signals = self._expiries_s_by_replica.setdefault(replica, {})
        signals[signal] = now_s + lifetime_s
        return not was_leaving

    def remove_signal(self, replica: str, signal: Signal) -> None:
        """Removes a signal."""
        self._expiries_s_by_replica.get(replica, {}).pop(signal, None)

    def on_health_not_leaving(self, replica: str) -> None:
        """Handles a health answer with a state other than leaving.

        The answer removes the HEALTH signal. It removes the REPLY signal only
        if the health endpoint had reported a leaving state before: an endpoint
        that never did so may not report leaving at all.
        """
        signals = self._expiries_s_by_replica.get(replica, {})
        if signals.pop(Signal.HEALTH, None) is not None:
            signals.pop(Signal.REPLY, None)

    def is_leaving(self, replica: str, now_s: float) -> bool:
        """Returns whether any signal of the replica is valid."""
        signals = self._expiries_s_by_replica.get(replica)
        return signals is not None and any(
            now_s < expiry_s for expiry_s in signals.values()
        )

    def leaving_replicas(
        self, now_s: float, exclude_peers: bool = False
    ) -> set[str]:
        """Returns the leaving replicas.

        Args:
            now_s: Current time.
            exclude_peers: Whether to ignore the signals of peers.
        """
        return {
            replica
            for replica, signals in self._expiries_s_by_replica.items()
            if any(
                now_s < expiry_s
                for signal, expiry_s in signals.items()
                if not exclude_peers or signal is not Signal.PEER
            )
        }

    def update_signal(
        self,
        leaving_by_replica: Mapping[str, bool],
        signal: Signal,
        now_s: float,
    ) -> list[str]:
        """Replaces all signals of one source.

        Args:
            leaving_by_replica: Whether each replica is leaving. The signal of
                replicas that are missing here is removed.
            signal: Source of the information.
            now_s: Current time.

        Returns:
            Replicas that are leaving now and were not before.
        """
        newly_leaving = []
        for replica in list(self._expiries_s_by_replica):
            if not leaving_by_replica.get(replica, False):
                self.remove_signal(replica, signal)
        for replica, leaving in leaving_by_replica.items():
            if leaving and self.add_signal(replica, signal, now_s):
                newly_leaving.append(replica)
        return newly_leaving

    def remove_expired(self, now_s: float) -> None:
        """Removes expired signals."""
        for replica, signals in list(self._expiries_s_by_replica.items()):
            for signal, expiry_s in list(signals.items()):
                if now_s >= expiry_s:
                    del signals[signal]
            if not signals:
                del self._expiries_s_by_replica[replica]

    def dump(self) -> dict[str, list[str]]:
        """Returns the signals of each replica.

        Expired signals are included until they are removed.
        """
        return {
            replica: sorted(signal.value for signal in signals)
            for replica, signals in self._expiries_s_by_replica.items()
        }
