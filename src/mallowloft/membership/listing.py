"""Reads the platform's list of instances.

In each failure domain only a few instances read the list for the others.
"""

import asyncio
from collections.abc import Callable

from mallowloft.configuration import platform as platform_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.membership import rendezvous
from mallowloft.membership import view as view_lib

_log = logs.get_logger("membership")

_READ_INTERVAL_S = 1.0
_MIN_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 8.0
# Average limit on the combined rate of repeated reads by instances without
# live peers. First reads are not delayed, and reads after a failed one are
# delayed by the backoff only.
_MAX_ISOLATED_READS_PER_S = 200.0
# Instances of each failure domain that read from the platform for the others.
READERS_PER_DOMAIN = 2


class Readers:
    """The instances that read from the platform for a failure domain."""

    def __init__(self, view: view_lib.View, failure_domain: str) -> None:
        self._view = view
        self._domain = failure_domain
        self._names: list[str] | None = None
        view.subscribe(self._invalidate)

    @property
    def names(self) -> list[str]:
        """The readers in the current view, the preferred one first."""
        if self._names is None:
            live = self._view.live(self._domain)
            ranked = rendezvous.ranked(live, f"readers/{self._domain}")
            self._names = ranked[:READERS_PER_DOMAIN]
        return self._names

    def _invalidate(self) -> None:
        self._names = None


class ListFollower:
    """Reads the list while this instance is a reader or has no live peer.

    Attributes:
        resume_count: Number of process pauses so far. A read that began before
            a pause may return an outdated list.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        view: view_lib.View,
        is_reader: Callable[[], bool],
        on_list: Callable[[platform_lib.InstanceList, bool], None],
    ) -> None:
        """Creates a follower.

        Args:
            kernel: Kernel of this instance.
            view: Members known to this instance.
            is_reader: Returns whether this instance reads for its failure
                domain.
            on_list: Called with each list and whether the read began after
                the last process pause.
        """
        self._kernel = kernel
        self._view = view
        self._is_reader = is_reader
        self._on_list = on_list
        self.resume_count = 0

    def is_isolated(self) -> bool:
        """Whether no other live member is known.

        An instance in the leaving state does not count itself as live, so one
        other live member also gives True.
        """
        return len(self._view.live()) <= 1

    def is_reading(self) -> bool:
        """Whether this instance currently reads the list."""
        return self.is_isolated() or self._is_reader()

    async def run(self) -> None:
        """Reads the list periodically until cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            if not self.is_reading() or await self._read():
                # Nothing to read, or the read succeeded.
                backoff_s = _MIN_BACKOFF_S
                await asyncio.sleep(_READ_INTERVAL_S)
                if self.is_isolated():
                    await asyncio.sleep(self._isolated_delay_s())
                continue
            await asyncio.sleep(backoff_s * self._kernel.rng.uniform(0.5, 1.5))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    async def _read(self) -> bool:
        # The client is looked up for each read because tests replace it.
        platform = self._kernel.plugin("configuration").platform
        resume_count = self.resume_count
        self._kernel.metrics.count("platform_calls", call="instances")
        outcome = await platform.instances()
        if outcome.is_err():
            self._kernel.metrics.count(
                "platform_calls_failed", call="instances"
            )
            _log.warning("list_unreachable", reason=outcome.unwrap_err())
            return False
        try:
            self._on_list(outcome.unwrap(), resume_count == self.resume_count)
        except Exception:  # noqa: BLE001
            _log.exception("list_not_taken")
            return False
        return True

    def _isolated_delay_s(self) -> float:
        """Returns a random delay that bounds the combined read rate."""
        member_count = len(self._view.members_by_id)
        return self._kernel.rng.uniform(
            0.0, 2 * member_count / _MAX_ISOLATED_READS_PER_S
        )
