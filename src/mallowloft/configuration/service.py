"""Plug-in that keeps the configuration of an instance up to date."""

import asyncio
from typing import Any

from mallowloft.configuration import acceptance
from mallowloft.configuration import platform
from mallowloft.configuration import store as store_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry

_log = logs.get("configuration")

_WATCH_S = 30.0
_RETRY_S = 0.5


@registry.plugins.register("configuration")
class ConfigurationService:
    """Reads and watches the platform's configuration service.

    Attributes:
        store: The accepted configuration.
        platform: Client of the platform, shared with other plug-ins.
    """

    requires = ("peers",)

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self.store = store_lib.Store()
        self.platform: platform.Platform = platform.HttpPlatform(
            kernel.settings.platform_url
        )
        self._task: asyncio.Task | None = None
        self._after = 0
        self._loaded = False

    async def start(self) -> None:
        """Starts to read and watch."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stops watching."""
        del grace_s
        if self._task is not None:
            self._task.cancel()
        await self.platform.close()

    def ready(self) -> bool:
        """Whether the highest reachable revision has been taken."""
        return self._loaded

    def dump(self) -> dict[str, Any]:
        """Returns accepted revisions."""
        return {
            "revision": self.store.current.revision,
            "revision_by_subtree": self.store.revision_by_subtree,
        }

    async def _run(self) -> None:
        while True:
            if self._loaded:
                answer = await self.platform.watch(self._after, _WATCH_S)
            else:
                answer = await self.platform.read("/")
            if answer.is_err():
                _log.warning("platform_unreachable", reason=answer.unwrap_err())
                await asyncio.sleep(_RETRY_S)
                continue
            entries = answer.unwrap()
            self._after = max(self._after, entries.revision)
            self.store.offer(
                platform.group_by_subtree(
                    entries.documents, acceptance.subtree_of
                )
            )
            self._loaded = True
