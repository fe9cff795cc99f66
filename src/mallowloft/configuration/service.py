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

_log = logs.get_logger("configuration")

_WATCH_TIMEOUT_S = 30.0
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
_POLL_INTERVAL_S = 0.02
# Timeout for peers to answer an instance that has started or resumed.
_PEER_ANSWER_TIMEOUT_S = 0.25
# An instance that has started or resumed and has no loaded peer reads from the
# platform's configuration service after this delay plus a random one. The
# random delay keeps the combined rate of all live instances below the maximum.
_READ_DELAY_S = 0.5
_MAX_READS_PER_S = 400.0
_MAX_READ_DELAY_FACTOR = 16.0
# A resumed instance that reaches neither peers nor the platform becomes ready
# with its old configuration after this time.
_ISOLATED_READY_DELAY_S = 2.0


@registry.plugins.register("configuration")
class ConfigurationService:
    """Loads the configuration from peers and from the platform.

    Watchers, which are the readers of each failure domain (see
    `membership.listing`), read it from the platform's configuration service and
    push it to their peers.

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
        self._platform_revision: int | None = None
        self._backoff_s = _MIN_BACKOFF_S
        self._platform_stale = False
        self._resume_count = 0
        # Value of `_resume_count` at the last completed catch-up, -1 before.
        self._validated_resume_count = -1
        self._isolated_ready_at_s = float("inf")

    async def start(self) -> None:
        """Starts to load and update the configuration."""
        self._exchange.start()
        self._kernel.pause_detector.subscribe(self._on_resume)
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
        """Stops updating the configuration and closes the client."""
        del grace_s
        for task in self._tasks:
            task.cancel()
        await self.platform.close()

    def ready(self) -> bool:
        """Whether the configuration is up to date enough to accept work.

        True once this instance has caught up with a loaded peer or has read
        from the platform since the start or the last pause. After a pause, also
        True once the isolated delay has passed.
        """
        if not self._exchange.loaded:
            return False
        return (
            self._validated_resume_count == self._resume_count
            or self._kernel.clock.now() >= self._isolated_ready_at_s
        )

    def dump(self) -> dict[str, Any]:
        """Returns accepted revisions and rejected subtrees."""
        return {
            "revision": self.store.current.revision,
            "digest": self.store.digest.hex(),
            "loaded": self._exchange.loaded,
            "watching": self._watching,
            "service_revision": self._platform_revision,
            "revision_by_subtree": self.store.revision_by_subtree,
            "rejections_by_subtree": {
                name: {
                    "revision": rejection.revision,
                    "findings": rejection.findings.as_list(),
                }
                for name, rejection in self.store.rejections_by_subtree.items()
            },
        }

    def compare_digest(self, peer: str, digest: bytes) -> None:
        """Compares the local digest with one received in a ping or pong."""
        self._exchange.compare_digest(peer, digest)

    @property
    def _membership(self) -> Any:
        return self._kernel.plugin("membership")

    def _is_watcher(self) -> bool:
        return self._membership.is_reader()

    async def _run(self) -> None:
        while not self._membership.ready():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._membership.view.subscribe(self._on_view_change)
        while True:
            try:
                await self._catch_up_or_watch()
            except Exception:  # noqa: BLE001
                # If this task ended, the configuration would become stale.
                _log.exception("configuration_step_failed")
                await asyncio.sleep(_MAX_BACKOFF_S)

    async def _catch_up_or_watch(self) -> None:
        if self._validated_resume_count != self._resume_count:
            await self._catch_up()
        elif self._is_watcher():
            await self._run_until_role_change(self._watch())
        else:
            self._watching = False
            self._platform_revision = None
            await self._role_changed.wait()
        self._role_changed.clear()

    async def _run_anti_entropy(self) -> None:
        while True:
            await asyncio.sleep(exchange_lib.ANTI_ENTROPY_INTERVAL_S)
            if self._exchange.loaded:
                self._exchange.send_digest_to_random_peer()

    def _on_view_change(self) -> None:
        if self._is_watcher() != self._watching:
            self._role_changed.set()

    def _on_resume(self, pause_s: float) -> None:
        """Requires validation again, as the configuration may be stale."""
        del pause_s
        self._resume_count += 1
        self._platform_revision = None
        self._isolated_ready_at_s = (
            self._kernel.clock.now() + _ISOLATED_READY_DELAY_S
        )
        self._role_changed.set()

    async def _run_until_role_change(self, awaitable: Any) -> None:
        """Runs an awaitable until it completes or the role changes."""
        task = asyncio.ensure_future(awaitable)
        role_change = asyncio.ensure_future(self._role_changed.wait())
        try:
            await asyncio.wait(
                (task, role_change), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                task.result()
        finally:
            task.cancel()
            role_change.cancel()

    # Validation after a start or a pause.

    async def _catch_up(self) -> None:
        """Loads the configuration from peers or the platform.

        Peers are asked first. Watchers that are not isolated then read once
        from the platform in any case. Other reads take place only if this
        instance has not caught up with any loaded peer within a random time,
        whose upper limit grows with the number of live instances.
        """
        resume_count = self._resume_count
        clock = self._kernel.clock
        delay_factor = 1.0
        read_at_s = clock.now() + self._read_delay_s(delay_factor)
        while self._resume_count == resume_count:
            is_caught_up = await self._ask_peers()
            is_first_watcher_read = delay_factor == 1.0 and self._is_watcher()
            if (is_first_watcher_read and not self._is_isolated()) or (
                not is_caught_up and clock.now() >= read_at_s
            ):
                entries = await self._call("read", self.platform.read("/"))
                if entries.is_ok():
                    self._apply(entries.unwrap())
                    is_caught_up = True
                delay_factor = min(2 * delay_factor, _MAX_READ_DELAY_FACTOR)
                read_at_s = clock.now() + self._read_delay_s(delay_factor)
            if is_caught_up and self._resume_count == resume_count:
                self._mark_validated(resume_count)
                return
            await asyncio.sleep(_PEER_ANSWER_TIMEOUT_S)

    def _is_isolated(self) -> bool:
        return len(self._membership.view.live()) <= 1

    def _read_delay_s(self, delay_factor: float) -> float:
        """Returns how long to wait for peers before reading from the platform.

        An isolated instance does not know how many others read at the same
        time. The random part of its delay is at most 1 s times `delay_factor`,
        as if `_MAX_READS_PER_S` instances were live.
        """
        live = len(self._membership.view.live())
        if live <= 1:
            live = _MAX_READS_PER_S
        spread_s = self._kernel.rng.uniform(0.0, live / _MAX_READS_PER_S)
        return delay_factor * (_READ_DELAY_S + spread_s)

    async def _ask_peers(self) -> bool:
        """Requests digests from peers.

        Returns:
            Whether this instance has caught up with at least one loaded peer.
        """
        asked = self._exchange.request_digests()
        end_s = self._kernel.clock.now() + _PEER_ANSWER_TIMEOUT_S
        while self._kernel.clock.now() < end_s:
            if asked <= self._exchange.answered and (
                asked <= self._exchange.caught_up_with
                or not self._exchange.catching_up
            ):
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        return bool(self._exchange.caught_up_with)

    def _mark_validated(self, resume_count: int) -> None:
        is_first = not self._exchange.loaded
        self._exchange.loaded = True
        self._validated_resume_count = resume_count
        if is_first:
            _log.info(
                "configuration_loaded", revision=self.store.current.revision
            )

    # The platform's configuration service.

    async def _watch(self) -> None:
        """Calls the platform once: a read, or a watch from a known revision."""
        self._watching = True
        if self._platform_revision is None:
            answer = await self._call("read", self.platform.read("/"))
        else:
            answer = await self._call(
                "watch",
                self.platform.watch(self._platform_revision, _WATCH_TIMEOUT_S),
            )
        if answer.is_err():
            jitter = self._kernel.rng.uniform(0.5, 1.5)
            await asyncio.sleep(self._backoff_s * jitter)
            self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
            return
        self._backoff_s = _MIN_BACKOFF_S
        self._apply(answer.unwrap())

    async def _call(self, name: str, call: Any) -> result.Result:
        self._kernel.metrics.count("platform_calls", call=name)
        answer = await call
        if answer.is_err():
            self._kernel.metrics.count("platform_calls_failed", call=name)
            _log.warning(
                "platform_unreachable", call=name, reason=answer.unwrap_err()
            )
        return answer

    def _apply(self, entries: platform.Entries) -> None:
        """Applies an answer of the platform.

        A watcher pushes the accepted subtrees.
        """
        # If the platform's configuration service is restored from a backup, it
        # continues from a lower revision. The next call reads everything, so
        # that changes below the old revision are not missed.
        revision_decreased = (
            self._platform_revision is not None
            and entries.revision < self._platform_revision
        )
        self._platform_revision = (
            None if revision_decreased else entries.revision
        )
        self._set_stale(entries.revision < self.store.current.revision)
        accepted = self.store.merge(
            platform.group_by_subtree(entries.documents, acceptance.subtree_of)
        )
        if accepted:
            self._kernel.metrics.count("config_accepted", len(accepted))
            _log.info(
                "configuration_accepted",
                revision=self.store.current.revision,
                subtrees=len(accepted),
            )
            # `_watching` is not set yet during a catch-up after a start, and a
            # watcher may lose its role while the call is in progress.
            if self._watching or self._is_watcher():
                self._exchange.push(accepted)

    def _set_stale(self, stale: bool) -> None:
        if stale and not self._platform_stale:
            _log.warning(
                "platform_stale", held_revision=self.store.current.revision
            )
        self._platform_stale = stale
