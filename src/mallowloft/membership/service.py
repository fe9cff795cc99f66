"""Plug-in that keeps the view of members up to date."""

import asyncio
import re
from typing import Any

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.membership import view as view_lib

_log = logs.get("membership")

_LIST_INTERVAL_S = 1.0
_PEER_PATTERN = re.compile(r"(?P<id>[^@]+)@(?P<domain>[^=]+)=(?P<address>.+)")


@registry.plugins.register("membership")
class MembershipService:
    """Follows the platform's list of instances.

    Attributes:
        view: The members as this instance sees them.
    """

    requires = ("peers", "configuration")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self.view = view_lib.View()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Adds this instance and configured peers, then follows the list."""
        settings = self._kernel.settings
        peers = self._kernel.plugin("peers")
        self.view.put(
            view_lib.Member(
                settings.instance_id,
                settings.failure_domain,
                peers.address,
                self._kernel.incarnation,
                view_lib.LIVE,
            )
        )
        for item in filter(None, settings.peers.split(",")):
            match = _PEER_PATTERN.fullmatch(item.strip())
            if match is not None:
                self._add(match["id"], match["domain"], match["address"])
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stops following the list."""
        del grace_s
        if self._task is not None:
            self._task.cancel()

    def ready(self) -> bool:
        """Whether this instance is a live member in its own view."""
        return self._kernel.settings.instance_id in self.view.live()

    def dump(self) -> dict[str, Any]:
        """Returns the members."""
        return {
            "members": {
                member.instance: {
                    "failure_domain": member.failure_domain,
                    "address": member.address,
                    "state": member.state,
                }
                for member in self.view.members_by_id.values()
            }
        }

    def _add(self, instance: str, failure_domain: str, address: str) -> None:
        if instance == self._kernel.settings.instance_id:
            return
        self._kernel.plugin("peers").connect(instance, address)
        self.view.put(
            view_lib.Member(instance, failure_domain, address, 0, view_lib.LIVE)
        )

    async def _run(self) -> None:
        platform = self._kernel.plugin("configuration").platform
        while True:
            answer = await platform.instances()
            if answer.is_ok():
                for item in answer.unwrap().instances:
                    if item.state == view_lib.LIVE:
                        self._add(item.id, item.failure_domain, item.peer)
            await asyncio.sleep(_LIST_INTERVAL_S)
