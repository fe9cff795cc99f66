"""Reading of the platform's list by a few instances of a failure domain."""

import asyncio
from collections.abc import Callable

from mallowloft.configuration import platform as platform_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.membership import rendezvous
from mallowloft.membership import view as view_lib

_log = logs.get("membership")

_INTERVAL_S = 1.0
_BACKOFF_S = 0.5
_BACKOFF_MAX_S = 8.0
# Highest rate at which instances without live peers read the list together.
_READS_PER_S = 200.0
# Instances of each failure domain that read the platform for the others.
READERS = 2


class Readers:
    """The instances that read the platform for a failure domain."""

    def __init__(self, view: view_lib.View, failure_domain: str) -> None:
        self._view = view
        self._domain = failure_domain
        self._names: list[str] | None = None
        view.subscribe(self._forget)

    @property
    def names(self) -> list[str]:
        """The readers in the current view, the preferred one first."""
        if self._names is None:
            live = self._view.live(self._domain)
            ranked = rendezvous.ranked(live, f"readers/{self._domain}")
            self._names = ranked[:READERS]
        return self._names

    def _forget(self) -> None:
        self._names = None


class ListFollower:
    """Reads the list while this instance is a reader or has no live peer.

    Attributes:
        wakes: Pauses of the process so far; a read that began before a pause
            shows nothing of the present.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        view: view_lib.View,
        is_reader: Callable[[], bool],
        take: Callable[[platform_lib.InstanceList, bool], None],
    ) -> None:
        """Creates a follower.

        Args:
            kernel: The instance.
            view: Its members.
            is_reader: Whether this instance reads for its failure domain.
            take: Called with each list and whether it is of the present.
        """
        self._kernel = kernel
        self._view = view
        self._is_reader = is_reader
        self._take = take
        self.wakes = 0

    def is_alone(self) -> bool:
        """Whether no other live member is known."""
        return len(self._view.live()) <= 1

    def reads(self) -> bool:
        """Whether this instance reads the list."""
        return self.is_alone() or self._is_reader()

    async def run(self) -> None:
        """Reads the list until cancelled."""
        backoff_s = _BACKOFF_S
        while True:
            if not self.reads() or await self._read():
                backoff_s = _BACKOFF_S
                await asyncio.sleep(_INTERVAL_S)
                if self.is_alone():
                    await asyncio.sleep(self._alone_interval_s())
                continue
            await asyncio.sleep(backoff_s * self._kernel.rng.uniform(0.5, 1.5))
            backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)

    async def _read(self) -> bool:
        # Taken anew each time, because tests replace the client.
        platform = self._kernel.plugin("configuration").platform
        wakes = self.wakes
        self._kernel.metrics.count("platform_calls", call="instances")
        answer = await platform.instances()
        if answer.is_err():
            self._kernel.metrics.count(
                "platform_calls_failed", call="instances"
            )
            _log.warning("list_unreachable", reason=answer.unwrap_err())
            return False
        try:
            self._take(answer.unwrap(), wakes == self.wakes)
        except Exception:  # noqa: BLE001
            _log.exception("list_not_taken")
            return False
        return True

    def _alone_interval_s(self) -> float:
        """Returns what keeps a fleet without contact under the rate."""
        known = len(self._view.members_by_id)
        return self._kernel.rng.uniform(0.0, 2 * known / _READS_PER_S)
