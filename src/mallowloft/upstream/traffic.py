"""Counts the bytes that an instance exchanges with servers, by purpose."""

from collections.abc import Callable

from mallowloft.kernel import metrics as metrics_lib

SENT = "sent"
RECEIVED = "received"


class LinkMeter:
    """Counts the bytes on connections to servers at one distance."""

    def __init__(self, metrics: metrics_lib.Metrics, scope: str) -> None:
        self._metrics = metrics
        self._scope = scope
        self._add_by_key: dict[tuple[str, str], Callable[[float], None]] = {}
        self.bytes_by_key: dict[tuple[str, str], int] = {}

    def count(self, purpose: str, direction: str, size: int) -> None:
        """Adds bytes that were sent or received for a purpose."""
        key = (purpose, direction)
        add = self._add_by_key.get(key)
        if add is None:
            add = self._metrics.counter(
                "link_bytes",
                purpose=purpose,
                scope=self._scope,
                direction=direction,
            ).inc
            self._add_by_key[key] = add
        add(size)
        self.bytes_by_key[key] = self.bytes_by_key.get(key, 0) + size


class Traffic:
    """Meters for servers in the same and in other failure domains."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._local = LinkMeter(metrics, "local")
        self._remote = LinkMeter(metrics, "remote")

    def meter(self, remote: bool) -> LinkMeter:
        """Returns the meter for servers that are remote or not."""
        return self._remote if remote else self._local

    def dump(self) -> dict[str, dict[str, int]]:
        """Returns the bytes by scope, then by purpose and direction."""
        return {
            scope: {
                f"{purpose}_{direction}": size
                for (purpose, direction), size in meter.bytes_by_key.items()
            }
            for scope, meter in (
                ("local", self._local),
                ("remote", self._remote),
            )
        }
