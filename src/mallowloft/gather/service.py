"""Plug-in that runs queries over many shards."""

import asyncio
from collections.abc import Iterable
import dataclasses
import itertools
import math
from typing import Any

import result

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model as config_model
from mallowloft.gather import budget as budget_lib
from mallowloft.gather import hedging
from mallowloft.gather import model
from mallowloft.gather import pinning
from mallowloft.gather import run as run_lib
from mallowloft.gather import selection
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.membership import rendezvous
from mallowloft.membership import view as view_lib

_log = logs.get_logger("gather")

_DEFAULT_RETRY_AFTER_MS = 100.0
# Merging and sending the answer take time after the last reply, so gathering
# ends this fraction of the deadline early, at most 10 ms.
_ANSWER_MARGIN_RATIO = 0.05
_ANSWER_MARGIN_MAX_S = 0.010
# One restart is enough if replicas have switched versions and no reply has
# reported it yet. If more than three are needed, versions change faster than
# the query runs.
_MAX_RESTARTS = 3

_ATTEMPT_NUMBER_BITS = 56
# A silent dispatcher is bypassed for this time unless it sends a reply or queue
# notice earlier. Membership marks a dead one as suspect sooner than that.
_BYPASS_S = 1.0
# Limits how long a probe occupies a slot of a replica that hangs.
_PROBE_TIMEOUT_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Probe:
    replica: str
    dispatcher: str
    timer: asyncio.TimerHandle


@registry.plugins.register("gather")
class GatherService:
    """Runs queries over many shards."""

    requires = ("peers", "configuration", "membership", "dispatch")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self.kernel = kernel
        self.versions = pinning.VersionReports()
        self.budget = budget_lib.ExtraRequestBudget()
        self.delays = hedging.HedgeDelays()
        self.health = selection.ReplicaStatistics()
        self.selector = selection.Selector(
            kernel.settings.failure_domain,
            self.health,
            self.versions,
            kernel.rng,
        )
        self.hedging = kernel.settings.hedging
        self._snapshot: config_model.Snapshot | None = None
        # Attempt numbers start at a random value, so that a reply to an attempt
        # of an earlier incarnation does not match one of this incarnation.
        self._attempt_numbers = itertools.count(
            kernel.rng.getrandbits(_ATTEMPT_NUMBER_BITS)
        )
        self._in_flight: dict[int, tuple[run_lib.Run, run_lib.Attempt]] = {}
        self._probes: dict[int, _Probe] = {}
        self._active_runs: dict[run_lib.Run, None] = {}
        # When each dispatcher last sent a reply or queue notice.
        self._last_reply_s: dict[str, float] = {}
        self._bypassed_until_s: dict[str, float] = {}
        self._queries_running = 0

    async def start(self) -> None:
        """Registers message handlers and metrics."""
        peers = self.kernel.plugin("peers")
        peers.add_handler(messages.SubReply, self._on_reply)
        peers.add_handler(messages.SubQueued, self._on_queued)
        self.kernel.plugin("membership").view.subscribe(self._on_view_change)
        metrics = self.kernel.metrics
        metrics.gauge("gather_budget_tokens", lambda: self.budget.tokens)
        metrics.gauge(
            "gather_replicas_avoided",
            lambda: float(len(self.health.avoided_replicas())),
        )

    async def stop(self, grace_s: float) -> None:
        """Waits until no query is running or the grace period ends."""
        end_s = self.now() + grace_s
        while self._queries_running and self.now() < end_s:
            await asyncio.sleep(0.01)

    def ready(self) -> bool:
        """Returns True, since the plug-in needs no preparation."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns counts of work in flight, the budget and avoided replicas."""
        return {
            "queries_running": self._queries_running,
            "attempts_in_flight": len(self._in_flight),
            "probes_in_flight": len(self._probes),
            "budget_tokens": self.budget.tokens,
            "replicas_avoided": self.health.avoided_replicas(),
        }

    async def run(
        self, query: model.Query
    ) -> result.Result[model.Answer, model.Refusal]:
        """Answers a query from one index version.

        Returns:
            The answer, or a refusal if the index is not published, every
            sub-request was refused or the coverage is too low.
        """
        self._queries_running += 1
        try:
            return await self._run(query)
        finally:
            self._queries_running -= 1

    async def _run(
        self, query: model.Query
    ) -> result.Result[model.Answer, model.Refusal]:
        started_s = self.now()
        self._apply_snapshot(query.snapshot)
        deadline_s = query.deadline_ms / 1000
        margin_s = min(_ANSWER_MARGIN_MAX_S, deadline_s * _ANSWER_MARGIN_RATIO)
        end_s = started_s + deadline_s - margin_s
        name, index = _index_of(query)
        if index is None:
            return result.Err(
                model.Refusal(
                    "no_index",
                    f"index {name!r} is not published",
                    _DEFAULT_RETRY_AFTER_MS,
                )
            )
        runs: list[run_lib.Run] = []
        services = query.snapshot.services_of(query.target)
        while not runs or runs[-1].version_unavailable:
            tried = {run.version for run in runs}
            version = self.versions.choose(
                name, index, services, self.now(), tried
            )
            if version is None:
                break
            run = run_lib.Run(
                self, query, index, version, end_s, frozenset(tried)
            )
            runs.append(run)
            self._active_runs[run] = None
            try:
                await run.execute()
            finally:
                del self._active_runs[run]
        # A restart may gather less than the first run did. The best run is used
        # as a whole, so that no answer mixes versions.
        best = max(runs, key=lambda run: (len(run.merge.results), run.version))
        if len(runs) > 1:
            self.kernel.metrics.count("query_restarts", len(runs) - 1)
            _log.info(
                "query_restarted",
                request=query.request_id,
                versions=[run.version for run in runs],
                answered=best.version,
            )
        return self._build_result(query, runs, best, started_s)

    def _build_result(
        self,
        query: model.Query,
        runs: list[run_lib.Run],
        best: run_lib.Run,
        started_s: float,
    ) -> result.Result[model.Answer, model.Refusal]:
        answer = model.Answer(
            request_id=query.request_id,
            index_version=best.version,
            results=best.merge.results,
            lacking=best.merge.lacking,
            attempts=model.AttemptCounts(
                sent=sum(run.sent for run in runs),
                hedges=sum(run.hedges for run in runs),
                retries=sum(run.retries + run.resent for run in runs),
            ),
            config_revision=query.snapshot.revision,
            elapsed_ms=(self.now() - started_s) * 1000,
        )
        self._record_metrics(query, runs, answer)
        retry_after_ms = max(run.retry_after_ms for run in runs)
        retry_after_ms = retry_after_ms or _DEFAULT_RETRY_AFTER_MS
        if best.refused:
            return result.Err(
                model.Refusal(
                    "overloaded",
                    "every sub-request was refused",
                    retry_after_ms,
                    answer,
                )
            )
        if answer.coverage < query.min_coverage:
            return result.Err(
                model.Refusal(
                    "coverage_too_low",
                    f"coverage {answer.coverage:.3f} is below"
                    f" {query.min_coverage:.3f}",
                    retry_after_ms,
                    answer,
                )
            )
        return result.Ok(answer)

    def _record_metrics(
        self,
        query: model.Query,
        runs: list[run_lib.Run],
        answer: model.Answer,
    ) -> None:
        metrics = self.kernel.metrics
        rank = str(query.rank)
        metrics.count("queries", rank=rank)
        metrics.observe_ms("query_elapsed", answer.elapsed_ms, rank=rank)
        metrics.count("sub_requests", answer.attempts.sent)
        metrics.count("sub_request_hedges", answer.attempts.hedges)
        metrics.count("sub_request_retries", sum(run.retries for run in runs))
        metrics.count("sub_request_resends", sum(run.resent for run in runs))
        if answer.lacking:
            metrics.count("queries_incomplete", rank=rank)
            for reason in answer.lacking.values():
                metrics.count("shards_lacking", reason=reason)

    def _apply_snapshot(self, snapshot: config_model.Snapshot) -> None:
        """Applies a newer snapshot.

        The state of removed replicas and shards is dropped.
        """
        known = self._snapshot
        if known is not None and known.revision >= snapshot.revision:
            return
        self._snapshot = snapshot
        self.health.update_services(snapshot)
        self.delays.retain(
            model.Shard(service, shard)
            for index in snapshot.indexes_by_name.values()
            for version in index.versions
            for service, shards in version.shards.items()
            for shard in shards
        )

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self.kernel.clock.now()

    def dispatcher_for(self, run: run_lib.Run, replica: str) -> str | None:
        """Returns the instance that dispatches for a replica.

        Dispatchers that were recently silent are bypassed for a while if
        another instance is live.
        """
        chosen = self.kernel.plugin("dispatch").dispatcher_for(replica)
        if chosen is None or not self._is_bypassed(chosen):
            return chosen
        domain = run.query.snapshot.replicas_by_id[replica].failure_domain
        view = self.kernel.plugin("membership").view
        others = [
            instance
            for instance in view.live(domain) or view.live()
            if not self._is_bypassed(instance)
        ]
        return rendezvous.first(others, replica) or chosen

    def _is_bypassed(self, instance: str) -> bool:
        until_s = self._bypassed_until_s.get(instance)
        return until_s is not None and self.now() < until_s

    def is_leaving(self, replica: str) -> bool:
        """Whether a replica is leaving and must get no new work."""
        return self.kernel.plugin("dispatch").is_leaving(replica)

    def is_dispatcher_gone(self, attempt: run_lib.Attempt) -> bool:
        """Whether an attempt's dispatcher was removed, suspected or restarted.

        A leaving dispatcher is not gone, because it finishes its attempts.
        """
        view = self.kernel.plugin("membership").view
        member = view.members_by_id.get(attempt.dispatcher)
        if member is None or member.state == view_lib.SUSPECT:
            return True
        return 0 not in (attempt.incarnation, member.incarnation) and (
            attempt.incarnation != member.incarnation
        )

    def is_dispatcher_silent(self, attempt: run_lib.Attempt) -> bool:
        """Whether the dispatcher has been silent since the attempt.

        It is silent if it has sent no reply or queue notice. It is then
        bypassed for a while.
        """
        dispatcher = attempt.dispatcher
        if dispatcher == self.kernel.settings.instance_id:
            return False
        if self._last_reply_s.get(dispatcher, -math.inf) >= attempt.sent_s:
            return False
        if not self._is_bypassed(dispatcher):
            self.kernel.metrics.count("dispatchers_silent")
            _log.warning("dispatcher_silent", dispatcher=dispatcher)
            self._bypassed_until_s[dispatcher] = self.now() + _BYPASS_S
        return True

    def send_attempt(
        self,
        run: run_lib.Run,
        service: str,
        replica: str,
        dispatcher: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> run_lib.Attempt | None:
        """Sends a sub-request; returns None if it cannot be sent."""
        number = next(self._attempt_numbers)
        now_s = self.now()
        remaining_ms = (run.end_s - now_s) * 1000
        message = self._build_sub_request(
            run, number, service, replica, shards, hedge, remaining_ms
        )
        if not self.kernel.plugin("peers").send(dispatcher, message):
            return None
        self.kernel.plugin("membership").monitor(dispatcher)
        view = self.kernel.plugin("membership").view
        member = view.members_by_id.get(dispatcher)
        attempt = run_lib.Attempt(
            number=number,
            service=service,
            replica=replica,
            dispatcher=dispatcher,
            incarnation=member.incarnation if member else 0,
            shards=shards,
            sent_s=now_s,
            hedge_delay_s=self.delays.delay_ms(shards) / 1000,
        )
        self._in_flight[number] = (run, attempt)
        return attempt

    def send_probe(
        self, run: run_lib.Run, shard: model.Shard, replica: str
    ) -> None:
        """Sends a sub-request that only tests whether a replica is healthy."""
        dispatcher = self.dispatcher_for(run, replica)
        if dispatcher is None:
            return
        number = next(self._attempt_numbers)
        message = self._build_sub_request(
            run,
            number,
            shard.service,
            replica,
            (shard,),
            True,
            _PROBE_TIMEOUT_MS,
        )
        if not self.kernel.plugin("peers").send(dispatcher, message):
            return
        self.kernel.plugin("membership").monitor(dispatcher)
        self.kernel.metrics.count("sub_request_probes")
        timer = asyncio.get_running_loop().call_later(
            _PROBE_TIMEOUT_MS / 1000, self._cancel_probe, number
        )
        self._probes[number] = _Probe(replica, dispatcher, timer)

    def _cancel_probe(self, number: int) -> None:
        probe = self._probes.pop(number, None)
        if probe is not None:
            self.kernel.plugin("peers").send(
                probe.dispatcher, messages.Cancel((number,))
            )

    def _build_sub_request(
        self,
        run: run_lib.Run,
        number: int,
        service: str,
        replica: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
        remaining_ms: float,
    ) -> messages.SubRequest:
        return messages.SubRequest(
            attempt=number,
            request=run.query.request_id,
            service=service,
            replica=replica,
            shards=tuple(shard.name for shard in shards),
            index_version=run.version,
            rank=run.query.rank,
            remaining_ms=remaining_ms,
            hedge=hedge,
            query=run.query.body,
        )

    def record_late_attempt(
        self, attempt: run_lib.Attempt, decisive: bool
    ) -> None:
        """Records that an attempt was overtaken or has not ended in time.

        An attempt that was not late yet is ignored.
        """
        now_s = self.now()
        elapsed_ms = (now_s - attempt.sent_s - attempt.queue_delay_s) * 1000
        if elapsed_ms < attempt.hedge_delay_s * 1000:
            return
        self._report_fault(
            attempt.replica,
            self.health.record_late_attempt(
                attempt.replica, elapsed_ms, now_s, decisive
            ),
            "overtaken",
        )

    def _report_fault(
        self, replica: str, newly_avoided: bool, reason: str
    ) -> None:
        """Reports a fault if the replica has just been marked as faulty."""
        if newly_avoided:
            self.kernel.metrics.count("replica_faults", reason=reason)
            _log.warning("replica_avoided", replica=replica, reason=reason)
            for run in self._active_runs:
                run.on_replica_avoided(replica)

    def may_restart(self, run: run_lib.Run) -> bool:
        """Whether another version may serve every shard in time.

        A restart is expected to take as long as the run took to detect that
        its version cannot be served.
        """
        now_s = self.now()
        if len(run.tried_versions) > _MAX_RESTARTS:
            return False
        if run.end_s - now_s < now_s - run.started_s:
            return False
        _, index = _index_of(run.query)
        services = run.query.snapshot.services_of(run.query.target)
        return index is not None and self.versions.has_complete_version(
            index, services, now_s, run.tried_versions
        )

    def cancel(self, attempts: Iterable[run_lib.Attempt]) -> None:
        """Drops attempts and cancels them at their dispatchers."""
        numbers_by_dispatcher: dict[str, list[int]] = {}
        for attempt in attempts:
            if self._in_flight.pop(attempt.number, None) is not None:
                numbers = numbers_by_dispatcher.setdefault(
                    attempt.dispatcher, []
                )
                numbers.append(attempt.number)
        peers = self.kernel.plugin("peers")
        for dispatcher, numbers in numbers_by_dispatcher.items():
            peers.send(dispatcher, messages.Cancel(tuple(numbers)))

    def _on_reply(
        self, sender: peers_lib.Sender, reply: messages.SubReply
    ) -> None:
        self._record_contact(sender)
        self._record_versions(reply)
        probe = self._probes.get(reply.attempt)
        if probe is not None and probe.replica == reply.replica:
            del self._probes[reply.attempt]
            probe.timer.cancel()
            self._record_probe_outcome(reply)
            return
        run, attempt = self._in_flight.get(reply.attempt, (None, None))
        if attempt is None or attempt.replica != reply.replica:
            self.kernel.metrics.count("sub_replies_unmatched")
            return
        del self._in_flight[reply.attempt]
        self._record_outcome(run, attempt, reply)
        run.on_reply(reply.attempt, reply)

    def _on_queued(
        self, sender: peers_lib.Sender, queued: messages.SubQueued
    ) -> None:
        self._record_contact(sender)
        for number in queued.attempts:
            run, _ = self._in_flight.get(number, (None, None))
            if run is not None:
                run.on_queued(number, queued.queue_delay_ms)

    def _on_view_change(self) -> None:
        for run in list(self._active_runs):
            run.on_view_change()

    def _record_contact(self, sender: peers_lib.Sender) -> None:
        self.kernel.plugin("membership").record_message(
            sender.instance, sender.incarnation
        )
        self._last_reply_s[sender.instance] = self.now()
        self._bypassed_until_s.pop(sender.instance, None)

    def _record_outcome(
        self,
        run: run_lib.Run,
        attempt: run_lib.Attempt,
        reply: messages.SubReply,
    ) -> None:
        """Updates the estimates of a replica from the reply to an attempt."""
        now_s = self.now()
        replica = attempt.replica
        delay_ms = reply.queue_delay_ms
        if reply.outcome in selection.REFUSALS:
            delay_ms = max(delay_ms, reply.retry_after_ms)
            self.health.record_refusal(replica, now_s)
        self.health.record_queue_delay(replica, run.query.rank, delay_ms, now_s)
        if reply.outcome is messages.Outcome.WRONG_VERSION:
            self.versions.observe(replica, run.version, False, now_s)
        elif reply.outcome is messages.Outcome.OK:
            latency_ms = (now_s - attempt.sent_s) * 1000
            was_avoided = self.health.is_avoided(replica, now_s)
            changed = self.health.record_success(
                replica, reply.service_ms, latency_ms, now_s
            )
            if self.health.is_avoided(replica, now_s):
                self._report_fault(replica, changed, "slow")
            elif not was_avoided:
                self.delays.record(attempt.shards, latency_ms)
        else:
            newly_avoided = self.health.record_failure(
                replica, reply.outcome, now_s
            )
            self._report_fault(replica, newly_avoided, reply.outcome.value)

    def _record_probe_outcome(self, reply: messages.SubReply) -> None:
        if (
            reply.outcome is messages.Outcome.OK
            and self.health.record_probe_success(
                reply.replica, reply.service_ms, self.now()
            )
        ):
            _log.info("replica_used_again", replica=reply.replica)

    def _record_versions(self, reply: messages.SubReply) -> None:
        if reply.versions:
            self.versions.report(reply.replica, reply.versions, self.now())
        if reply.outcome is messages.Outcome.OK:
            self.versions.observe(
                reply.replica, reply.index_version, True, self.now()
            )


def _index_of(
    query: model.Query,
) -> tuple[str, config_model.Index | None]:
    services = query.snapshot.services_of(query.target)
    name = query.snapshot.services_by_name[services[0]].index
    return name, query.snapshot.indexes_by_name.get(name)
