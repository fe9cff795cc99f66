"""Keeps a local copy of the published routes and replicas up to date.

The source may be slow, refuse calls of some instances, lose its history, stop
answering on an open connection or be unreachable. The last copy stays in use
until the source answers again.
"""

import asyncio
import enum
import random
from typing import Protocol

import result

from mallowloft.kernel import logs
from mallowloft.routes import mirror as mirror_lib

_log = logs.get_logger("following")

# Pause after each call, so that one call fetches a burst of changes. The pause
# grows in proportion to the number of instances above _MIN_PAUSE_INSTANCES, up
# to a share of the time that a call may wait, so that the total number of calls
# grows more slowly than the fleet.
_MIN_PAUSE_S = 0.4
_MIN_PAUSE_INSTANCES = 20
_MAX_PAUSE_WATCH_SHARE = 0.3
# A source may truncate long answers. After an answer with at least this many
# changes, the next call follows without a pause.
LONG_ANSWER_MIN_ITEMS = 20
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.8
# A source that failed calls had an outage if it was silent for longer than the
# wait of a call plus this time; otherwise it was only slow.
_MIN_OUTAGE_S = 1.0
# Longest wait of a call if other instances rely on this one, so that it soon
# detects the loss of the source.
_MAX_HUB_WAIT_S = 1.2
# An answer may arrive this long after the wait of its call.
_RESPONSE_MARGIN_S = 0.5
# Wait of a call if a delayed change is already due.
_MIN_WAIT_S = 0.05


class CallError(enum.StrEnum):
    """Reason for which a call failed."""

    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    # The answer is from before the source was restored.
    OUTDATED = "outdated"


class Client(Protocol):
    """Client of the source."""

    async def read(self) -> result.Result[mirror_lib.Batch, CallError]:
        """Returns all items, and a revision up to which they are complete."""

    async def watch(
        self, after: tuple[int, int], wait_s: float
    ) -> result.Result[mirror_lib.Batch, CallError]:
        """Waits for changes after an era and revision and returns them.

        Fails with `CallError.HISTORY_LOST` if the source has been restored, or
        no longer has the changes.
        """


class Follower:
    """Reads the listing, then follows the changes."""

    def __init__(
        self,
        client: Client,
        listener: mirror_lib.Listener,
        rng: random.Random,
        watch_s: float,
    ) -> None:
        """Prepares to follow a source.

        Args:
            client: Client of the source.
            listener: Is notified of changes to the items.
            rng: Source of the jitter between retries.
            watch_s: Longest time that a call waits for changes. A connection
                that has stopped answering is detected only after this time.
        """
        self._watch_s = watch_s
        self._wait_s = watch_s
        self._pause_s = _MIN_PAUSE_S
        self._client = client
        self._rng = rng
        self.mirror = mirror_lib.Mirror(listener)
        # Set, and replaced by a new event, after each successful call.
        self.updated = asyncio.Event()
        # Era and revision up to which changes are known.
        self._position: tuple[int, int] | None = None
        self._consecutive_failures = 0
        self._last_success_s: float | None = None
        self.calls = 0
        # Revision up to which changes were known before the last listing.
        self._last_revision = 0
        # Number of times that the source was found restored from a copy.
        self.restores = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision up to which changes are known.

        The revision is 0 without a listing.
        """
        return self._position or (self.mirror.era, 0)

    @property
    def revision(self) -> int:
        """Revision up to which changes are known; 0 without a listing."""
        return self.position[1]

    @property
    def current(self) -> bool:
        """Whether the source has answered within the time of one call."""
        max_silence_s = self._wait_s + _RESPONSE_MARGIN_S
        return (
            self._last_success_s is not None and self.silent_s() < max_silence_s
        )

    @property
    def reachable(self) -> bool:
        """Whether a call has succeeded and none has failed since.

        `CallError.HISTORY_LOST` does not count as a failure.
        """
        return (
            self._last_success_s is not None and not self._consecutive_failures
        )

    def set_callers(self, callers: int, serves_others: bool = False) -> None:
        """Adapts the pause and wait of calls to the number of callers.

        Args:
            callers: Number of instances that call the source.
            serves_others: Whether other instances rely on this one's copy.
        """
        max_pause_s = max(_MIN_PAUSE_S, _MAX_PAUSE_WATCH_SHARE * self._watch_s)
        scaled_pause_s = _MIN_PAUSE_S * callers / _MIN_PAUSE_INSTANCES
        self._pause_s = min(max_pause_s, max(_MIN_PAUSE_S, scaled_pause_s))
        self._wait_s = self._watch_s
        if serves_others:
            self._wait_s = min(self._watch_s, _MAX_HUB_WAIT_S)

    def silent_s(self) -> float:
        """Returns the time since the last successful call of the source."""
        if self._last_success_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._last_success_s

    async def run(self) -> None:
        """Follows the source until cancelled."""
        while True:
            try:
                call_result = await self._poll()
            except Exception:  # noqa: BLE001
                # Without the follower, the instance would use its last copy
                # for good.
                _log.exception("call_failed")
                call_result = result.Err(CallError.MALFORMED)
            if call_result.is_ok():
                self._consecutive_failures = 0
                if call_result.unwrap() < LONG_ANSWER_MIN_ITEMS:
                    await asyncio.sleep(self._pause_s)
            else:
                await self._handle_failure(call_result.unwrap_err())

    async def _poll(self) -> result.Result[int, CallError]:
        """Calls the source once and returns the number of changes.

        The number is 0 for a listing.
        """
        self.calls += 1
        wait_s = self._wait_s
        next_due_s = self.mirror.next_due_s
        if next_due_s is not None:
            until_due_s = next_due_s - asyncio.get_running_loop().time()
            wait_s = min(wait_s, max(_MIN_WAIT_S, until_due_s))
        needs_listing = self._position is None
        if needs_listing:
            call_result = await self._client.read()
        else:
            call_result = await self._client.watch(self._position, wait_s)
        now_s = asyncio.get_running_loop().time()
        if call_result.is_err():
            return call_result
        batch = call_result.unwrap()
        if batch.era < self.mirror.era:
            return result.Err(CallError.OUTDATED)
        if not needs_listing and batch.era > self.mirror.era:
            # Changes since a revision of another era are not complete.
            return result.Err(CallError.HISTORY_LOST)
        self._record_success(now_s, wait_s)
        if needs_listing:
            self._apply_listing(batch, now_s)
        else:
            self.mirror.update(batch, now_s)
        self.mirror.apply_due(now_s)
        self._position = batch.position
        self.wake_waiting()
        return result.Ok(0 if needs_listing else len(batch.items))

    def wake_waiting(self) -> None:
        """Ends the waits for the next update, whether or not there was one."""
        updated, self.updated = self.updated, asyncio.Event()
        updated.set()

    def _apply_listing(self, batch: mirror_lib.Batch, now_s: float) -> None:
        mirror = self.mirror
        before = (mirror.era, self._last_revision, mirror.kept_items)
        if mirror.replace(batch, now_s):
            self.restores += 1
            _log.warning(
                "source_went_back",
                era=batch.era,
                previous_era=before[0],
                revision=batch.revision,
                previous_revision=before[1],
                kept=mirror.kept_items - before[2],
                unlisted=mirror.pending_removals,
            )

    def _record_success(self, now_s: float, wait_s: float) -> None:
        reached_before = self._last_success_s is not None
        self._last_success_s, previous_s = now_s, self._last_success_s
        if not reached_before:
            _log.info("source_reached")
            return
        away_s = now_s - previous_s
        if self._consecutive_failures and away_s > wait_s + _MIN_OUTAGE_S:
            self.mirror.hold_removals(now_s)
        if self._consecutive_failures:
            _log.info(
                "source_regained",
                away_s=round(away_s, 2),
                failures=self._consecutive_failures,
            )

    async def _handle_failure(self, error: CallError) -> None:
        if error is CallError.HISTORY_LOST:
            era, revision = self.position
            _log.info("history_lost", era=era, revision=revision)
            self._last_revision = revision or self._last_revision
            self._position = None
            return
        if not self._consecutive_failures:
            _log.warning(
                "source_lost",
                reason=error.value,
                revision=self.revision,
                silent_s=round(self.silent_s(), 2),
            )
        delay_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**self._consecutive_failures
        )
        self._consecutive_failures = min(self._consecutive_failures + 1, 16)
        await asyncio.sleep(delay_s * self._rng.uniform(0.6, 1.0))
