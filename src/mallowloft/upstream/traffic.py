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

    def __init__(
        self, metrics: metrics_lib.Metrics, failure_domain: str = ""
    ) -> None:
        self._metrics = metrics
        self._failure_domain = failure_domain
        self._crossing_counters: dict[
            tuple[str, str], Callable[[str, int], None]
        ] = {}
        self._local = LinkMeter(metrics, "local")
        self._remote = LinkMeter(metrics, "remote")

    def meter(self, remote: bool) -> LinkMeter:
        """Returns the meter for servers that are remote or not."""
        return self._remote if remote else self._local

    def crossing_counter(
        self, failure_domain: str, reason: str
    ) -> Callable[[str, int], None]:
        """Returns a function that counts bytes to and from another domain.

        Args:
            failure_domain: The other failure domain.
            reason: Why the attempt goes there.

        Returns:
            A function of the direction and the number of bytes.
        """
        key = (failure_domain, reason)
        count = self._crossing_counters.get(key)
        if count is None:
            add_by_direction = {
                direction: self._metrics.counter(
                    "crossing_bytes",
                    here=self._failure_domain,
                    there=failure_domain,
                    reason=reason,
                    direction=direction,
                ).inc
                for direction in (SENT, RECEIVED)
            }

            def count(direction: str, size: int) -> None:
                add_by_direction[direction](size)

            self._crossing_counters[key] = count
        return count

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
