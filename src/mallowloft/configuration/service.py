"""Plug-in that keeps the configuration of an instance up to date."""

import asyncio
from typing import Any

import result

from mallowloft.configuration import acceptance
from mallowloft.configuration import exchange as exchange_lib
from mallowloft.configuration import platform
from mallowloft.configuration import store as store_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry

_log = logs.get("configuration")

_WATCH_S = 30.0
_BACKOFF_S = 0.25
_BACKOFF_MAX_S = 4.0
_POLL_S = 0.02
# How long peers may take to answer a fresh or resumed instance.
_ANSWER_S = 0.25
# A fresh instance without a loaded peer calls the service after this time and
# a random part of what keeps all live instances under the highest rate.
_FRESH_WAIT_S = 0.5
_FRESH_READS_PER_S = 400.0
_FRESH_WAIT_MAX_FACTOR = 16.0
# A resumed instance that reaches nobody goes on with what it holds.
_UNREACHABLE_READY_S = 2.0


@registry.plugins.register("configuration")
class ConfigurationService:
    """Takes the configuration from peers, and from the service if a watcher.

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
        self._exchange = exchange_lib.Exchange(kernel, self.store)
        self._tasks: list[asyncio.Task] = []
        self._role_changed = asyncio.Event()
        self._watching = False
        self._after: int | None = None
        self._backoff_s = _BACKOFF_S
        self._stale = False
        self._wakes = 0
        self._valid_wakes = -1
        self._valid_at_s = float("inf")

    async def start(self) -> None:
        """Starts to take the configuration."""
        self._exchange.start()
        self._kernel.pauses.subscribe(self._on_wake)
        metrics = self._kernel.metrics
        metrics.gauge("config_revision", lambda: self.store.current.revision)
        metrics.gauge("config_watching", lambda: float(self._watching))
        metrics.gauge(
            "config_rejected", lambda: len(self.store.rejections_by_subtree)
        )
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._run_anti_entropy()),
        ]

    async def stop(self, grace_s: float) -> None:
        """Stops watching."""
        del grace_s
        for task in self._tasks:
            task.cancel()
        await self.platform.close()

    def ready(self) -> bool:
        """Whether the highest reachable revision has been taken."""
        if not self._exchange.loaded:
            return False
        return (
            self._valid_wakes == self._wakes
            or self._kernel.clock.now() >= self._valid_at_s
        )

    def dump(self) -> dict[str, Any]:
        """Returns accepted revisions and what was rejected."""
        return {
            "revision": self.store.current.revision,
            "digest": self.store.digest.hex(),
            "loaded": self._exchange.loaded,
            "watching": self._watching,
            "service_revision": self._after,
            "revision_by_subtree": self.store.revision_by_subtree,
            "rejections_by_subtree": {
                name: {
                    "revision": rejection.revision,
                    "findings": rejection.findings.as_list(),
                }
                for name, rejection in self.store.rejections_by_subtree.items()
            },
        }

    def seen_digest(self, peer: str, digest: bytes) -> None:
        """Compares the configuration digest of a ping with the own one."""
        self._exchange.seen_digest(peer, digest)

    @property
    def _membership(self) -> Any:
        return self._kernel.plugin("membership")

    def _is_watcher(self) -> bool:
        return self._membership.is_reader()

    async def _run(self) -> None:
        while not self._membership.ready():
            await asyncio.sleep(_POLL_S)
        self._membership.view.subscribe(self._on_view)
        while True:
            try:
                await self._step()
            except Exception:  # noqa: BLE001
                # Without this task the instance would keep an old state.
                _log.exception("configuration_step_failed")
                await asyncio.sleep(_BACKOFF_MAX_S)

    async def _step(self) -> None:
        if self._valid_wakes != self._wakes:
            await self._catch_up()
        elif self._is_watcher():
            await self._interruptible(self._watch())
        else:
            self._watching = False
            self._after = None
            await self._role_changed.wait()
        self._role_changed.clear()

    async def _run_anti_entropy(self) -> None:
        while True:
            await asyncio.sleep(exchange_lib.ANTI_ENTROPY_S)
            if self._exchange.loaded:
                self._exchange.anti_entropy()

    def _on_view(self) -> None:
        if self._is_watcher() != self._watching:
            self._role_changed.set()

    def _on_wake(self, pause_s: float) -> None:
        """Trusts no answer from before a pause."""
        del pause_s
        self._wakes += 1
        self._after = None
        self._valid_at_s = self._kernel.clock.now() + _UNREACHABLE_READY_S
        self._role_changed.set()

    async def _interruptible(self, work: Any) -> None:
        """Runs work until it ends or the role of this instance changes."""
        task = asyncio.ensure_future(work)
        interrupt = asyncio.ensure_future(self._role_changed.wait())
        try:
            await asyncio.wait(
                (task, interrupt), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                task.result()
        finally:
            task.cancel()
            interrupt.cancel()

    # A fresh or resumed instance.

    async def _catch_up(self) -> None:
        """Takes the highest reachable revision.

        Peers are asked first. The service is read by watchers, and by others
        when no loaded peer has answered for a time that grows with the number
        of live instances.
        """
        wakes = self._wakes
        clock = self._kernel.clock
        factor = 1.0
        read_at_s = clock.now() + self._fresh_wait_s(factor)
        while self._wakes == wakes:
            reached = await self._ask_peers()
            first = factor == 1.0 and self._is_watcher()
            if (first and not self._alone()) or (
                not reached and clock.now() >= read_at_s
            ):
                entries = await self._call("read", self.platform.read("/"))
                if entries.is_ok():
                    self._take(entries.unwrap())
                    reached = True
                factor = min(2 * factor, _FRESH_WAIT_MAX_FACTOR)
                read_at_s = clock.now() + self._fresh_wait_s(factor)
            if reached and self._wakes == wakes:
                self._set_valid(wakes)
                return
            await asyncio.sleep(_ANSWER_S)

    def _alone(self) -> bool:
        return len(self._membership.view.live()) <= 1

    def _fresh_wait_s(self, factor: float) -> float:
        """Returns how long to wait for peers before the service is read.

        An instance that sees no other cannot tell how many read with it and
        waits as long as one of a fleet of that size.
        """
        live = len(self._membership.view.live())
        if live <= 1:
            live = _FRESH_READS_PER_S
        spread_s = self._kernel.rng.uniform(0.0, live / _FRESH_READS_PER_S)
        return factor * (_FRESH_WAIT_S + spread_s)

    async def _ask_peers(self) -> bool:
        """Takes what peers hold; True if a loaded one was caught up with."""
        asked = self._exchange.ask()
        end_s = self._kernel.clock.now() + _ANSWER_S
        while self._kernel.clock.now() < end_s:
            if asked <= self._exchange.answered and (
                asked <= self._exchange.caught_up
                or not self._exchange.catching_up
            ):
                break
            await asyncio.sleep(_POLL_S)
        return bool(self._exchange.caught_up)

    def _set_valid(self, wakes: int) -> None:
        first = not self._exchange.loaded
        self._exchange.loaded = True
        self._valid_wakes = wakes
        if first:
            _log.info(
                "configuration_loaded", revision=self.store.current.revision
            )

    # The service.

    async def _watch(self) -> None:
        """Calls the service once: a read at first, then watches."""
        self._watching = True
        if self._after is None:
            answer = await self._call("read", self.platform.read("/"))
        else:
            answer = await self._call(
                "watch", self.platform.watch(self._after, _WATCH_S)
            )
        if answer.is_err():
            jitter = self._kernel.rng.uniform(0.5, 1.5)
            await asyncio.sleep(self._backoff_s * jitter)
            self._backoff_s = min(2 * self._backoff_s, _BACKOFF_MAX_S)
            return
        self._backoff_s = _BACKOFF_S
        self._take(answer.unwrap())

    async def _call(self, name: str, call: Any) -> result.Result:
        self._kernel.metrics.count("platform_calls", call=name)
        answer = await call
        if answer.is_err():
            self._kernel.metrics.count("platform_calls_failed", call=name)
            _log.warning(
                "platform_unreachable", call=name, reason=answer.unwrap_err()
            )
        return answer

    def _take(self, entries: platform.Entries) -> None:
        """Takes an answer of the service and tells peers what is new."""
        # A restored service counts from a lower revision again; what it
        # publishes for other subtrees from there on must not be missed.
        went_back = self._after is not None and entries.revision < self._after
        self._after = None if went_back else entries.revision
        self._note_stale(entries.revision < self.store.current.revision)
        accepted = self.store.offer(
            platform.group_by_subtree(entries.documents, acceptance.subtree_of)
        )
        if accepted:
            self._kernel.metrics.count("config_accepted", len(accepted))
            _log.info(
                "configuration_accepted",
                revision=self.store.current.revision,
                subtrees=len(accepted),
            )
            if self._watching or self._is_watcher():
                self._exchange.spread(accepted)

    def _note_stale(self, stale: bool) -> None:
        if stale and not self._stale:
            _log.warning(
                "platform_stale", held_revision=self.store.current.revision
            )
        self._stale = stale
