"""Plug-in that keeps the membership view up to date."""

import asyncio
import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import re
from typing import Any

import msgspec

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import platform as platform_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.membership import listing
from mallowloft.membership import prober as prober_lib
from mallowloft.membership import spread
from mallowloft.membership import view as view_lib

_log = logs.get_logger("membership")

# Heartbeats and the pings of a round are sent every second tick.
_TICK_S = 0.05
_TICKS_PER_ROUND = 2
_TICKS_PER_REMOTE_PING = 5
_TICKS_PER_DIGEST = 20
# Limits the burst of first pings; 860 members are pinged within 0.7 s.
_FIRST_PINGS_PER_TICK = 64
# An instance becomes ready after this time even if members have not answered.
_MAX_READY_DELAY_S = 2.0
_FORGET_DELAY_S = 60.0
# The connection to a silent member that is not live is reopened once after this
# time. Reopening discards the last known incarnation of the member, to which
# batches are addressed; a restarted instance drops batches that are addressed
# to its previous incarnation.
_RECONNECT_DELAY_S = 1.0
# A message received directly from a member within this time takes precedence
# over a digest that reports the member as suspect.
_RECENT_EVIDENCE_S = 1.0
_MAX_LIVE_MEMBERS_PER_DIGEST = 16
_MAX_OTHER_MEMBERS_PER_DIGEST = 64
_MAX_FORMER_INCARNATIONS = 8
# A timer that fires later than this indicates a busy event loop. Answers may
# have arrived but not been processed yet, so the check is postponed once.
_MAX_TIMER_DELAY_S = 0.05
# Ping deadlines that lie within this span share one timer.
_ROUND_DEADLINE_SPAN_S = 0.005
_PEER_PATTERN = re.compile(r"(?P<id>[^@]+)@(?P<domain>[^=]+)=(?P<address>.+)")


@registry.plugins.register("membership")
class MembershipService:
    """Maintains the view from the platform's list and members' messages.

    Attributes:
        view: The members as observed by this instance.
    """

    requires = ("peers", "configuration")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._own_id = kernel.settings.instance_id
        self._own_domain = kernel.settings.failure_domain
        self.view = view_lib.View()
        self._prober = prober_lib.Prober(
            self.view, self._own_id, self._own_domain, kernel.rng
        )
        self._tasks: list[asyncio.Task] = []
        self._tick_count = 0
        self._sequence = 0
        self._min_valid_sequence = 0
        # Whether a member has answered or the list has been read since the
        # start or the last process pause.
        self._view_confirmed = False
        self._ready_at_latest_s = 0.0
        self._members_to_ping: dict[str, None] = {}
        self._first_pong_deadline_s_by_id: dict[str, float] = {}
        self._last_first_pong_deadline_s = 0.0
        self._round_deadlines_s: list[float] = []
        self._listed: set[str] = set()
        self._upstream_listeners: list[Callable[[Mapping[str, str]], None]] = []
        self._list_state_by_id: dict[str, str] = {}
        self._leaving_unconfirmed: set[str] = set()
        self._list_read = False
        self._state_since_s_by_id: dict[str, float] = {}
        self._reconnected: set[str] = set()
        self._former_incarnations_by_id: dict[str, list[int]] = {}
        self._successor_by_id: dict[str, str] = {}
        self._leave_announced = False
        self._readers = listing.Readers(self.view, self._own_domain)
        self._list_follower = listing.ListFollower(
            kernel, self.view, lambda: self.is_reader(), self._on_list
        )

    async def start(self) -> None:
        """Adds this instance and the configured peers and starts the tasks."""
        peers = self._kernel.plugin("peers")
        peers.add_handler(messages.Ping, self._on_ping)
        peers.add_handler(messages.Pong, self._on_pong)
        peers.add_handler(messages.Leaving, self._on_leaving)
        peers.add_handler(messages.Suspected, self._on_suspected)
        peers.add_handler(messages.MembershipDigest, self._on_digest)
        peers.add_handler(messages.MembershipRequest, self._on_request)
        self.view.update(
            view_lib.Member(
                self._own_id,
                self._own_domain,
                peers.address,
                self._kernel.incarnation,
                view_lib.LIVE,
            )
        )
        for item in filter(None, self._kernel.settings.peers.split(",")):
            match = _PEER_PATTERN.fullmatch(item.strip())
            if match is not None:
                self._add_member(match["id"], match["domain"], match["address"])
        self._ready_at_latest_s = self._now() + _MAX_READY_DELAY_S
        self._kernel.pause_detector.subscribe(self._on_resume)
        self._kernel.metrics.gauge(
            "members_live", lambda: len(self.view.live())
        )
        self._kernel.metrics.gauge(
            "members_known", lambda: len(self.view.members_by_id)
        )
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._list_follower.run()),
        ]

    def leave(self) -> None:
        """Notifies all members that this instance accepts no new work."""
        self._leave_announced = True
        # Without another live member, work in flight still depends on this
        # instance, which therefore stays live in its own view.
        if not self._list_follower.is_isolated():
            self.view.set_state(self._own_id, view_lib.LEAVING)
        message = self._leaving_message()
        for member in list(self.view.members_by_id.values()):
            if member.instance != self._own_id:
                self._send(member.instance, message)
        _log.info("leaving_sent", successor=message.ledger_successor)

    async def stop(self, grace_s: float) -> None:
        """Stops probing members and reading the list."""
        del grace_s
        for task in self._tasks:
            task.cancel()

    def ready(self) -> bool:
        """Whether the view is complete enough to accept work.

        True once a ping has been answered or the list has been read since the
        start or the last pause, and each known member has answered or timed
        out. Also True once the ready delay has passed. False while this
        instance is leaving in its own view.
        """
        if self.view.state_of(self._own_id) != view_lib.LIVE:
            return False
        now_s = self._now()
        if now_s >= self._ready_at_latest_s:
            return True
        if not self._view_confirmed or self._members_to_ping:
            return False
        return (
            not self._first_pong_deadline_s_by_id
            or now_s >= self._last_first_pong_deadline_s
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state of each member.

        `silent_s` is the time since its last message or state change.
        """
        return {
            "members": {
                member.instance: {
                    "failure_domain": member.failure_domain,
                    "address": member.address,
                    "incarnation": member.incarnation,
                    "state": member.state,
                    "listed": member.instance in self._listed,
                    "silent_s": self._silent_s(member.instance),
                }
                for member in self.view.members_by_id.values()
            },
            "list_read": self._list_read,
            "reads_list": self._list_follower.is_reading(),
        }

    def monitor(self, instance: str) -> None:
        """Monitors a member to which a request is outstanding."""
        if instance != self._own_id:
            self._prober.monitor(instance, self._now())

    def record_message(self, instance: str, incarnation: int = 0) -> None:
        """Records that a message from an instance has arrived.

        A listed or suspect member becomes live, and a new incarnation replaces
        the known one. Messages of former incarnations are ignored.

        Args:
            instance: Sender of the message.
            incarnation: Incarnation of the sender, 0 if unknown.
        """
        member = self.view.members_by_id.get(instance)
        if member is None or instance == self._own_id:
            return
        if incarnation in self._former_incarnations_by_id.get(instance, ()):
            return
        self._prober.record_message(instance, self._now())
        self._first_pong_deadline_s_by_id.pop(instance, None)
        self._reinstate(
            self._prober.record_domain_contact(member.failure_domain)
        )
        if incarnation not in (0, member.incarnation):
            self._apply_incarnation(member, incarnation)
        elif member.state in (view_lib.LISTED, view_lib.SUSPECT):
            self._set_state(instance, view_lib.LIVE)
        if member.state == view_lib.LISTED:
            # If two instances start together, a ping in one direction suffices.
            self._members_to_ping.pop(instance, None)

    def successor_of(self, instance: str) -> str:
        """Returns the successor for a leaving instance's ledger, or ""."""
        return self._successor_by_id.get(instance, "")

    def _now(self) -> float:
        return self._kernel.clock.now()

    def _send(self, to: str, message: messages.Message) -> None:
        self._kernel.plugin("peers").send(to, message)

    def _silent_s(self, instance: str) -> float:
        if instance == self._own_id:
            return 0.0
        return self._now() - self._last_evidence_s(instance)

    def _last_evidence_s(self, instance: str) -> float:
        heard_s = self._prober.last_heard_s(instance)
        return max(
            heard_s, self._state_since_s_by_id.get(instance, float("-inf"))
        )

    # Members and their states.

    def _add_member(
        self, instance: str, failure_domain: str, address: str
    ) -> None:
        if instance == self._own_id or instance in self.view.members_by_id:
            return
        self._kernel.plugin("peers").connect(instance, address)
        self._state_since_s_by_id[instance] = self._now()
        self.view.update(
            view_lib.Member(
                instance, failure_domain, address, 0, view_lib.LISTED
            )
        )
        self._members_to_ping[instance] = None

    def _forget_member(self, instance: str) -> None:
        self._kernel.plugin("peers").disconnect(instance)
        self._prober.forget(instance)
        self._state_since_s_by_id.pop(instance, None)
        self._first_pong_deadline_s_by_id.pop(instance, None)
        self._members_to_ping.pop(instance, None)
        self._reconnected.discard(instance)
        self._leaving_unconfirmed.discard(instance)
        self._former_incarnations_by_id.pop(instance, None)
        self._successor_by_id.pop(instance, None)
        self.view.remove(instance)
        _log.info("member_forgotten", member=instance)

    def _set_state(
        self, instance: str, state: str, incarnation: int | None = None
    ) -> None:
        member = self.view.members_by_id.get(instance)
        if member is None:
            return
        previous = member.state
        if incarnation is None:
            incarnation = member.incarnation
        self.view.update(
            view_lib.Member(
                instance,
                member.failure_domain,
                member.address,
                incarnation,
                state,
            )
        )
        if previous == state:
            return
        self._state_since_s_by_id[instance] = self._now()
        self._reconnected.discard(instance)
        if previous == view_lib.LISTED:
            # When the fleet starts, its members change from listed to live.
            # Transitions from listed are therefore neither counted nor logged.
            return
        self._kernel.metrics.count("member_transitions", state=state)
        _log.info("member_state", member=instance, before=previous, state=state)

    def _reinstate(self, instances: Iterable[str]) -> None:
        """Marks suspect members as live.

        Their domain has become reachable again.
        """
        with self.view.batch():
            for instance in instances:
                if self.view.state_of(instance) == view_lib.SUSPECT:
                    self._set_state(instance, view_lib.LIVE)
                    self._members_to_ping[instance] = None

    def _apply_incarnation(
        self, member: view_lib.Member, incarnation: int
    ) -> None:
        state = view_lib.LIVE
        # The first known incarnation does not revoke an earlier leaving report.
        if member.incarnation == 0 and member.state == view_lib.LEAVING:
            state = view_lib.LEAVING
        if member.incarnation != 0:
            former = self._former_incarnations_by_id.setdefault(
                member.instance, []
            )
            former.append(member.incarnation)
            del former[:-_MAX_FORMER_INCARNATIONS]
            self._leaving_unconfirmed.discard(member.instance)
            _log.info("member_restarted", member=member.instance)
        self._set_state(member.instance, state, incarnation)

    def _update_sender(
        self, sender: peers_lib.Sender, failure_domain: str
    ) -> None:
        """Adds an unknown sender or updates the address of a known one."""
        member = self.view.members_by_id.get(sender.instance)
        if member is None:
            self._add_member(sender.instance, failure_domain, sender.address)
            self._members_to_ping.pop(sender.instance, None)
            return
        if sender.incarnation in self._former_incarnations_by_id.get(
            sender.instance, ()
        ):
            return
        # A wildcard bind address cannot be connected to.
        if member.address != sender.address and "://0." not in sender.address:
            self._kernel.plugin("peers").connect(
                sender.instance, sender.address
            )
            self.view.update(
                dataclasses.replace(member, address=sender.address)
            )

    # Messages.

    def _config_digest(self) -> bytes:
        return self._kernel.plugin("configuration").store.digest

    def _ping(self, instance: str) -> None:
        self._sequence += 1
        now_s = self._now()
        self._send(
            instance,
            messages.Ping(
                self._sequence, now_s, self._config_digest(), self._own_domain
            ),
        )
        if self._prober.record_ping(instance, now_s):
            self._add_round_deadline(self._prober.ping_deadline_s(instance))

    def _send_heartbeats(self) -> None:
        ping = messages.Ping(
            messages.HEARTBEAT,
            self._now(),
            self._config_digest(),
            self._own_domain,
        )
        for instance in self._prober.heartbeat_targets():
            self._send(instance, ping)

    def _on_ping(self, sender: peers_lib.Sender, ping: messages.Ping) -> None:
        self._update_sender(sender, ping.failure_domain)
        self.record_message(sender.instance, sender.incarnation)
        if ping.sequence != messages.HEARTBEAT:
            self._send(
                sender.instance,
                messages.Pong(
                    ping.sequence,
                    ping.sent_s,
                    self._config_digest(),
                    self._kernel.ready(),
                ),
            )
        if self._leave_announced:
            self._send(sender.instance, self._leaving_message())
        self._kernel.plugin("configuration").compare_digest(
            sender.instance, ping.config_digest
        )

    def _on_pong(self, sender: peers_lib.Sender, pong: messages.Pong) -> None:
        member = self.view.members_by_id.get(sender.instance)
        if member is None:
            return
        self._update_sender(sender, member.failure_domain)
        self.record_message(sender.instance, sender.incarnation)
        if (
            pong.sequence >= self._min_valid_sequence
            and not self._view_confirmed
        ):
            self._view_confirmed = True
            if not self._list_read:
                self._send(sender.instance, messages.MembershipRequest())
        self._kernel.plugin("configuration").compare_digest(
            sender.instance, pong.config_digest
        )

    def _leaving_message(self) -> messages.Leaving:
        submissions = self._kernel.plugins_by_name.get("submissions")
        successor = getattr(submissions, "successor", None)
        return messages.Leaving((successor() if successor else None) or "")

    def _on_leaving(
        self, sender: peers_lib.Sender, leaving: messages.Leaving
    ) -> None:
        member = self.view.members_by_id.get(sender.instance)
        former = self._former_incarnations_by_id.get(sender.instance, ())
        if member is None or sender.incarnation in former:
            return
        self.record_message(sender.instance, sender.incarnation)
        self._successor_by_id[sender.instance] = leaving.ledger_successor
        self._leaving_unconfirmed.discard(sender.instance)
        self._set_state(sender.instance, view_lib.LEAVING)

    def _relay(self, message: Any) -> None:
        forwarded = msgspec.structs.replace(message, relay_to=())
        for receiver in message.relay_to:
            self._send(receiver, forwarded)

    def _on_suspected(
        self, sender: peers_lib.Sender, message: messages.Suspected
    ) -> None:
        self.record_message(sender.instance, sender.incarnation)
        self._relay(message)
        for instance, incarnation in message.incarnations_by_id.items():
            member = self.view.members_by_id.get(instance)
            if member is not None and member.incarnation == incarnation:
                self._verify_suspicion(instance)

    def _verify_suspicion(self, instance: str) -> None:
        delay_s = self._prober.set_reported_deadline(instance, self._now())
        if delay_s is not None:
            self._ping(instance)
            self._check_deadlines_after(delay_s)

    def _on_request(
        self, sender: peers_lib.Sender, message: messages.MembershipRequest
    ) -> None:
        del message
        members = [
            member
            for member in self.view.members_by_id.values()
            if member.state == view_lib.LIVE
        ]
        self._send(sender.instance, _membership_digest(members))

    def _on_digest(
        self, sender: peers_lib.Sender, message: messages.MembershipDigest
    ) -> None:
        self.record_message(sender.instance, sender.incarnation)
        self._relay(message)
        self._listed.difference_update(message.unlisted)
        domain = self.view.domain_of(sender.instance)
        with self.view.batch():
            for item in message.members:
                self._apply_member_state(item, item.failure_domain == domain)

    def _apply_member_state(
        self, item: messages.MemberState, authoritative: bool
    ) -> None:
        """Applies the state of one member from a digest.

        Args:
            item: The member as observed by the sender.
            authoritative: Whether the sender belongs to the member's failure
                domain and therefore pings the member.
        """
        if item.instance == self._own_id:
            return
        member = self.view.members_by_id.get(item.instance)
        if member is None:
            if item.state in (view_lib.LIVE, view_lib.LISTED):
                self._add_member(
                    item.instance, item.failure_domain, item.address
                )
            return
        if member.incarnation != item.incarnation:
            if member.state != view_lib.LIVE:
                self._members_to_ping[item.instance] = None
            return
        silent_s = self._now() - self._prober.last_heard_s(item.instance)
        if item.state == view_lib.LEAVING:
            if member.state != view_lib.LEAVING:
                self._leaving_unconfirmed.add(item.instance)
            self._set_state(item.instance, view_lib.LEAVING)
        elif item.state == view_lib.LISTED:
            self._revert_unconfirmed_leaving(item.instance)
        elif item.state == view_lib.SUSPECT:
            if authoritative and silent_s > _RECENT_EVIDENCE_S:
                self._verify_suspicion(item.instance)
        elif member.state == view_lib.SUSPECT:
            self._members_to_ping[item.instance] = None

    # Timers.

    async def _run(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:  # noqa: BLE001
                _log.exception("membership_tick_failed")
            await asyncio.sleep(_TICK_S)

    def _tick(self) -> None:
        self._kernel.pause_detector.check()
        self._tick_count += 1
        self._schedule_deadline_checks()
        for instance in list(self._members_to_ping)[:_FIRST_PINGS_PER_TICK]:
            del self._members_to_ping[instance]
            self._last_first_pong_deadline_s = (
                self._now() + prober_lib.PING_TIMEOUT_S
            )
            self._first_pong_deadline_s_by_id[instance] = (
                self._last_first_pong_deadline_s
            )
        # Messages sent before a connection is open are lost, so first pings
        # are repeated until they are answered or time out.
        for instance in self._unanswered_first_pings():
            self._ping(instance)
        for instance in self._prober.overdue_targets(self._now()):
            self._ping(instance)
        if self._tick_count % _TICKS_PER_ROUND == 0:
            self._send_heartbeats()
            for instance in self._prober.round_targets(self._now()):
                self._ping(instance)
        if self._tick_count % _TICKS_PER_REMOTE_PING == 0:
            remote_member = self._prober.remote_target()
            if remote_member is not None:
                self._ping(remote_member)
        if self._tick_count % _TICKS_PER_DIGEST == 0:
            self._send_digest()
            self._reconnect_or_forget()

    def _unanswered_first_pings(self) -> list[str]:
        now_s = self._now()
        for instance, deadline_s in list(
            self._first_pong_deadline_s_by_id.items()
        ):
            if deadline_s <= now_s:
                del self._first_pong_deadline_s_by_id[instance]
        return list(self._first_pong_deadline_s_by_id)[
            : 2 * _FIRST_PINGS_PER_TICK
        ]

    def _add_round_deadline(self, deadline_s: float) -> None:
        """Adds a deadline unless the latest one covers it already."""
        latest_s = (
            self._round_deadlines_s[-1] if self._round_deadlines_s else None
        )
        if (
            latest_s is None
            or not latest_s - _ROUND_DEADLINE_SPAN_S <= deadline_s <= latest_s
        ):
            bisect.insort(
                self._round_deadlines_s, deadline_s + _ROUND_DEADLINE_SPAN_S
            )

    def _schedule_deadline_checks(self) -> None:
        """Starts timers for the deadlines within the next two ticks.

        Timers are started this late because most pings have been answered by
        that time and need none.
        """
        now_s = self._now()
        horizon_s = now_s + 2 * _TICK_S
        while (
            self._round_deadlines_s and self._round_deadlines_s[0] <= horizon_s
        ):
            deadline_s = self._round_deadlines_s.pop(0)
            if self._prober.has_deadline_before(deadline_s):
                asyncio.get_running_loop().call_later(
                    max(0.0, deadline_s - now_s),
                    self._check_deadlines,
                    deadline_s,
                    False,
                )

    def _check_deadlines_after(self, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(
            delay_s, self._check_deadlines, self._now() + delay_s, False
        )

    def _check_deadlines(self, deadline_s: float, postponed: bool) -> None:
        if self._kernel.pause_detector.check():
            return
        if self._now() - deadline_s > _MAX_TIMER_DELAY_S and not postponed:
            asyncio.get_running_loop().call_later(
                _MAX_TIMER_DELAY_S, self._check_deadlines, deadline_s, True
            )
            return
        silent = self._prober.pop_silent(self._now() + 1e-6)
        suspects = [name for name in silent if self._prober.should_report(name)]
        if suspects:
            self._broadcast_suspicion(suspects)
        with self.view.batch():
            for instance in silent:
                self._set_state(instance, view_lib.SUSPECT)
            for instance in silent:
                self._probe_domain(instance)

    def _probe_domain(self, instance: str) -> None:
        probes, is_unreachable = self._prober.probe_domain(instance)
        for other in probes:
            self._ping(other)
        if not is_unreachable:
            return
        failure_domain = self.view.domain_of(instance)
        members = self._prober.mark_domain_unreachable(failure_domain)
        for member in members:
            self._set_state(member, view_lib.SUSPECT)
        if members:
            _log.warning(
                "failure_domain_cut_off",
                failure_domain=failure_domain,
                members=len(members),
            )

    def _broadcast_suspicion(self, suspects: list[str]) -> None:
        incarnations_by_id = {
            name: self.view.members_by_id[name].incarnation for name in suspects
        }
        receivers = [
            name
            for name in self.view.live()
            if name != self._own_id and name not in incarnations_by_id
        ]
        for receiver, relay_to in spread.relay_groups(
            receivers, self._kernel.rng
        ):
            self._send(
                receiver, messages.Suspected(incarnations_by_id, relay_to)
            )

    def _send_digest(self) -> None:
        """Sends a membership digest to a random member of another domain.

        The digest contains the states of some members of this domain.
        """
        domains = [
            name
            for name in self.view.live_domains()
            if name != self._own_domain
        ]
        if not domains:
            return
        domain = self._kernel.rng.choice(domains)
        receiver = self._kernel.rng.choice(self.view.live(domain))
        own = [
            self.view.members_by_id[name]
            for name in self.view.known(self._own_domain)
        ]
        live = [item for item in own if item.state == view_lib.LIVE]
        others = [
            item
            for item in own
            if item.state in (view_lib.SUSPECT, view_lib.LEAVING)
        ]
        count = min(len(live), _MAX_LIVE_MEMBERS_PER_DIGEST)
        sampled = self._kernel.rng.sample(live, count)
        self._send(
            receiver,
            _membership_digest(
                others[:_MAX_OTHER_MEMBERS_PER_DIGEST] + sampled
            ),
        )

    def _reconnect_or_forget(self) -> None:
        """Reconnects to silent members that are not live, or removes them.

        Unlisted ones are removed once they have been silent for
        `_FORGET_DELAY_S`.
        """
        now_s = self._now()
        peers = self._kernel.plugin("peers")
        with self.view.batch():
            for member in list(self.view.members_by_id.values()):
                instance = member.instance
                if member.state == view_lib.LIVE:
                    continue
                silent_s = now_s - self._last_evidence_s(instance)
                if silent_s >= _FORGET_DELAY_S and instance not in self._listed:
                    self._forget_member(instance)
                elif (
                    silent_s >= _RECONNECT_DELAY_S
                    and instance not in self._reconnected
                ):
                    self._reconnected.add(instance)
                    peers.disconnect(instance)
                    peers.connect(instance, member.address)

    def _on_resume(self, pause_s: float) -> None:
        """Discards pending pings and pings all members again after a pause."""
        now_s = self._now()
        _log.warning("process_was_paused", pause_s=pause_s)
        self._kernel.metrics.count("process_pauses")
        self._prober.reset()
        self._list_follower.resume_count += 1
        self._view_confirmed = False
        self._min_valid_sequence = self._sequence + 1
        self._ready_at_latest_s = now_s + _MAX_READY_DELAY_S
        self._first_pong_deadline_s_by_id.clear()
        for instance in self.view.members_by_id:
            if instance != self._own_id:
                self._members_to_ping[instance] = None

    # The platform's list.

    def is_reader(self) -> bool:
        """Whether this instance reads from the platform for its domain."""
        return self._own_id in self.readers()

    def readers(self) -> list[str]:
        """Returns the instances that read from the platform for this domain."""
        return self._readers.names

    def subscribe_upstreams(
        self, listener: Callable[[Mapping[str, str]], None]
    ) -> None:
        """Adds a listener for the listed upstream states by replica id."""
        self._upstream_listeners.append(listener)

    def _on_list(
        self, listed: platform_lib.InstanceList, read_after_pause: bool
    ) -> None:
        self._apply_list(listed.instances)
        for listener in self._upstream_listeners:
            listener(listed.upstream_states)
        self._view_confirmed |= read_after_pause

    def _apply_list(self, items: Iterable[platform_lib.ListedInstance]) -> None:
        items_by_id = {item.id: item for item in items}
        added = items_by_id.keys() - self._listed
        removed = self._listed - items_by_id.keys()
        is_first = not self._list_read
        self._list_read = True
        self._listed = set(items_by_id)
        changed = set()
        # If all instances of a starting fleet kept the order of the list,
        # they would ping the same members at the same time.
        shuffled = list(items_by_id.values())
        self._kernel.rng.shuffle(shuffled)
        with self.view.batch():
            for item in shuffled:
                if self._apply_list_entry(item):
                    changed.add(item.id)
        if not is_first and (added or removed or changed):
            self._broadcast_list_changes(added | changed, removed)

    def _apply_list_entry(self, item: platform_lib.ListedInstance) -> bool:
        """Applies one entry.

        Returns:
            Whether its listed state has changed; False for a new entry.
        """
        if item.id == self._own_id:
            return False
        self._add_member(item.id, item.failure_domain, item.peer)
        member = self.view.members_by_id[item.id]
        if member.address != item.peer and member.state != view_lib.LIVE:
            self._kernel.plugin("peers").connect(item.id, item.peer)
            self.view.update(dataclasses.replace(member, address=item.peer))
            self._members_to_ping[item.id] = None
        previous = self._list_state_by_id.get(item.id)
        self._list_state_by_id[item.id] = item.state
        if item.state == previous:
            return False
        if item.state == view_lib.LEAVING:
            self._leaving_unconfirmed.add(item.id)
            self._set_state(item.id, view_lib.LEAVING)
        else:
            self._revert_unconfirmed_leaving(item.id)
        return previous is not None

    def _revert_unconfirmed_leaving(self, instance: str) -> None:
        """Reverts a leaving state that the member itself has not announced."""
        if instance in self._leaving_unconfirmed:
            self._leaving_unconfirmed.discard(instance)
            self._set_state(instance, view_lib.LISTED)
            self._members_to_ping[instance] = None

    def _broadcast_list_changes(
        self, changed: set[str], removed: set[str]
    ) -> None:
        members = tuple(
            _member_state(self.view.members_by_id[name])
            for name in sorted(changed - {self._own_id})
        )
        receivers = [
            name
            for name in self.view.live(self._own_domain)
            if name != self._own_id
        ]
        for receiver, relay_to in spread.relay_groups(
            receivers, self._kernel.rng
        ):
            self._send(
                receiver,
                messages.MembershipDigest(
                    members, tuple(sorted(removed)), relay_to
                ),
            )


def _member_state(member: view_lib.Member) -> messages.MemberState:
    return messages.MemberState(
        member.instance,
        member.failure_domain,
        member.address,
        member.incarnation,
        member.state,
    )


def _membership_digest(
    members: Iterable[view_lib.Member],
) -> messages.MembershipDigest:
    return messages.MembershipDigest(
        tuple(_member_state(member) for member in members), (), ()
    )
