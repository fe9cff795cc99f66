"""Plug-in that keeps the view of members up to date."""

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

_log = logs.get("membership")

# Ring neighbours exchange heartbeats every second tick.
_TICK_S = 0.05
_ROUND_TICKS = 2
_FOREIGN_TICKS = 5
_DIGEST_TICKS = 20
# Limits the burst of first pings: 860 members take 0.7 s.
_FIRST_PINGS_PER_TICK = 64
# An instance that reaches nobody becomes ready after this time.
_UNREACHABLE_READY_S = 2.0
_FORGET_S = 60.0
# A suspected member's connection is opened anew once after this time, because
# batches carry the incarnation last seen and a successor drops them.
_RECONNECT_S = 1.0
# Own evidence of this age outweighs what a digest says.
_OWN_EVIDENCE_S = 1.0
_DIGEST_LIVE_MEMBERS = 16
_DIGEST_OTHER_MEMBERS = 64
_MAX_FORMER_INCARNATIONS = 8
# A timer that fires this late shows a busy loop: answers may be waiting.
_LATE_TIMER_S = 0.05
# The pings of one round are sent within this time and judged together.
_ROUND_JUDGE_S = 0.005
_PEER_PATTERN = re.compile(r"(?P<id>[^@]+)@(?P<domain>[^=]+)=(?P<address>.+)")


@registry.plugins.register("membership")
class MembershipService:
    """Corrects the platform's list of instances by direct evidence.

    Attributes:
        view: The members as this instance sees them.
    """

    requires = ("peers", "configuration")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._own = kernel.settings.instance_id
        self._domain = kernel.settings.failure_domain
        self.view = view_lib.View()
        self._prober = prober_lib.Prober(
            self.view, self._own, self._domain, kernel.rng
        )
        self._tasks: list[asyncio.Task] = []
        self._tick_count = 0
        self._sequence = 0
        self._valid_sequence = 0
        self._validated = False
        self._unreachable_ready_s = 0.0
        self._first_pings: dict[str, None] = {}
        self._unsettled_until_s: dict[str, float] = {}
        self._settled_s = 0.0
        self._rounds_due_s: list[float] = []
        self._listed: set[str] = set()
        self._upstream_listeners: list[Callable[[Mapping[str, str]], None]] = []
        self._list_state_by_id: dict[str, str] = {}
        self._leaving_by_list: set[str] = set()
        self._list_read = False
        self._since_s: dict[str, float] = {}
        self._reconnected: set[str] = set()
        self._former_by_id: dict[str, list[int]] = {}
        self._successor_by_id: dict[str, str] = {}
        self._left = False
        self._readers = listing.Readers(self.view, self._domain)
        self._follower = listing.ListFollower(
            kernel, self.view, lambda: self.is_reader(), self._on_list
        )

    async def start(self) -> None:
        """Adds this instance and configured peers, then follows the list."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.Ping, self._on_ping)
        peers.on(messages.Pong, self._on_pong)
        peers.on(messages.Leaving, self._on_leaving)
        peers.on(messages.Suspected, self._on_suspected)
        peers.on(messages.MembershipDigest, self._on_digest)
        peers.on(messages.MembershipRequest, self._on_request)
        self.view.put(
            view_lib.Member(
                self._own,
                self._domain,
                peers.address,
                self._kernel.incarnation,
                view_lib.LIVE,
            )
        )
        for item in filter(None, self._kernel.settings.peers.split(",")):
            match = _PEER_PATTERN.fullmatch(item.strip())
            if match is not None:
                self._add(match["id"], match["domain"], match["address"])
        self._unreachable_ready_s = self._now() + _UNREACHABLE_READY_S
        self._kernel.pauses.subscribe(self._on_wake)
        self._kernel.metrics.gauge(
            "members_live", lambda: len(self.view.live())
        )
        self._kernel.metrics.gauge(
            "members_known", lambda: len(self.view.members_by_id)
        )
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._follower.run()),
        ]

    def leave(self) -> None:
        """Tells all members that this instance takes no new work."""
        self._left = True
        # Without another live member, work in flight still needs this one.
        if not self._follower.is_alone():
            self.view.set_state(self._own, view_lib.LEAVING)
        message = self._leaving_message()
        for member in list(self.view.members_by_id.values()):
            if member.instance != self._own:
                self._send(member.instance, message)
        _log.info("leaving_sent", successor=message.ledger_successor)

    async def stop(self, grace_s: float) -> None:
        """Stops pinging and following the list."""
        del grace_s
        for task in self._tasks:
            task.cancel()

    def ready(self) -> bool:
        """Whether the members have been heard or given up."""
        if self.view.state_of(self._own) != view_lib.LIVE:
            return False
        now_s = self._now()
        if now_s >= self._unreachable_ready_s:
            return True
        if not self._validated or self._first_pings:
            return False
        return not self._unsettled_until_s or now_s >= self._settled_s

    def dump(self) -> dict[str, Any]:
        """Returns the members and since when they are in their state."""
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
            "reads_list": self._follower.reads(),
        }

    def expect(self, instance: str) -> None:
        """Observes a member while a request to it is outstanding."""
        if instance != self._own:
            self._prober.expect(instance, self._now())

    def heard(self, instance: str, incarnation: int = 0) -> None:
        """Reports that a message of an instance arrived.

        Args:
            instance: Sender of the message.
            incarnation: Its incarnation, 0 if unknown.
        """
        member = self.view.members_by_id.get(instance)
        if member is None or instance == self._own:
            return
        if incarnation in self._former_by_id.get(instance, ()):
            return
        self._prober.heard(instance, self._now())
        self._unsettled_until_s.pop(instance, None)
        self._restore(self._prober.heard_domain(member.failure_domain))
        if incarnation not in (0, member.incarnation):
            self._take_incarnation(member, incarnation)
        elif member.state in (view_lib.LISTED, view_lib.SUSPECT):
            self._set_state(instance, view_lib.LIVE)
        if member.state == view_lib.LISTED:
            # Of two instances that start together one ping is enough.
            self._first_pings.pop(instance, None)

    def successor_of(self, instance: str) -> str:
        """Returns who took over the ledger of a leaving instance, or ""."""
        return self._successor_by_id.get(instance, "")

    def _now(self) -> float:
        return self._kernel.clock.now()

    def _send(self, to: str, message: messages.Message) -> None:
        self._kernel.plugin("peers").send(to, message)

    def _silent_s(self, instance: str) -> float:
        if instance == self._own:
            return 0.0
        return self._now() - self._last_evidence_s(instance)

    def _last_evidence_s(self, instance: str) -> float:
        heard_s = self._prober.heard_s(instance)
        return max(heard_s, self._since_s.get(instance, float("-inf")))

    # Members and their states.

    def _add(self, instance: str, failure_domain: str, address: str) -> None:
        if instance == self._own or instance in self.view.members_by_id:
            return
        self._kernel.plugin("peers").connect(instance, address)
        self._since_s[instance] = self._now()
        self.view.put(
            view_lib.Member(
                instance, failure_domain, address, 0, view_lib.LISTED
            )
        )
        self._first_pings[instance] = None

    def _forget(self, instance: str) -> None:
        self._kernel.plugin("peers").disconnect(instance)
        self._prober.forget(instance)
        self._since_s.pop(instance, None)
        self._unsettled_until_s.pop(instance, None)
        self._first_pings.pop(instance, None)
        self._reconnected.discard(instance)
        self._leaving_by_list.discard(instance)
        self._former_by_id.pop(instance, None)
        self._successor_by_id.pop(instance, None)
        self.view.remove(instance)
        _log.info("member_forgotten", member=instance)

    def _set_state(
        self, instance: str, state: str, incarnation: int | None = None
    ) -> None:
        member = self.view.members_by_id.get(instance)
        if member is None:
            return
        before = member.state
        if incarnation is None:
            incarnation = member.incarnation
        self.view.put(
            view_lib.Member(
                instance,
                member.failure_domain,
                member.address,
                incarnation,
                state,
            )
        )
        if before == state:
            return
        self._since_s[instance] = self._now()
        self._reconnected.discard(instance)
        if before == view_lib.LISTED:
            # Every instance of the fleet passes here at each start.
            return
        self._kernel.metrics.count("member_transitions", state=state)
        _log.info("member_state", member=instance, before=before, state=state)

    def _restore(self, instances: Iterable[str]) -> None:
        """Ends the suspicion of members of a domain that was cut off."""
        with self.view.batch():
            for instance in instances:
                if self.view.state_of(instance) == view_lib.SUSPECT:
                    self._set_state(instance, view_lib.LIVE)
                    self._first_pings[instance] = None

    def _take_incarnation(
        self, member: view_lib.Member, incarnation: int
    ) -> None:
        state = view_lib.LIVE
        if member.incarnation == 0 and member.state == view_lib.LEAVING:
            state = view_lib.LEAVING
        if member.incarnation != 0:
            former = self._former_by_id.setdefault(member.instance, [])
            former.append(member.incarnation)
            del former[:-_MAX_FORMER_INCARNATIONS]
            self._leaving_by_list.discard(member.instance)
            _log.info("member_restarted", member=member.instance)
        self._set_state(member.instance, state, incarnation)

    def _learn(self, sender: peers_lib.Sender, failure_domain: str) -> None:
        """Takes a sender that is unknown or has moved to another address."""
        member = self.view.members_by_id.get(sender.instance)
        if member is None:
            self._add(sender.instance, failure_domain, sender.address)
            self._first_pings.pop(sender.instance, None)
            return
        if sender.incarnation in self._former_by_id.get(sender.instance, ()):
            return
        if member.address != sender.address and "://0." not in sender.address:
            self._kernel.plugin("peers").connect(
                sender.instance, sender.address
            )
            self.view.put(dataclasses.replace(member, address=sender.address))

    # Messages.

    def _digest(self) -> bytes:
        return self._kernel.plugin("configuration").store.digest

    def _ping(self, instance: str) -> None:
        self._sequence += 1
        now_s = self._now()
        self._send(
            instance,
            messages.Ping(self._sequence, now_s, self._digest(), self._domain),
        )
        if self._prober.pinged(instance, now_s):
            self._judge_round(self._prober.judged_s(instance))

    def _send_heartbeats(self) -> None:
        ping = messages.Ping(
            messages.HEARTBEAT, self._now(), self._digest(), self._domain
        )
        for instance in self._prober.heartbeat_targets():
            self._send(instance, ping)

    def _on_ping(self, sender: peers_lib.Sender, ping: messages.Ping) -> None:
        self._learn(sender, ping.failure_domain)
        self.heard(sender.instance, sender.incarnation)
        if ping.sequence != messages.HEARTBEAT:
            self._send(
                sender.instance,
                messages.Pong(
                    ping.sequence,
                    ping.sent_s,
                    self._digest(),
                    self._kernel.ready(),
                ),
            )
        if self._left:
            self._send(sender.instance, self._leaving_message())
        self._kernel.plugin("configuration").seen_digest(
            sender.instance, ping.config_digest
        )

    def _on_pong(self, sender: peers_lib.Sender, pong: messages.Pong) -> None:
        member = self.view.members_by_id.get(sender.instance)
        if member is None:
            return
        self._learn(sender, member.failure_domain)
        self.heard(sender.instance, sender.incarnation)
        if pong.sequence >= self._valid_sequence and not self._validated:
            self._validated = True
            if not self._list_read:
                self._send(sender.instance, messages.MembershipRequest())
        self._kernel.plugin("configuration").seen_digest(
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
        former = self._former_by_id.get(sender.instance, ())
        if member is None or sender.incarnation in former:
            return
        self.heard(sender.instance, sender.incarnation)
        self._successor_by_id[sender.instance] = leaving.ledger_successor
        self._leaving_by_list.discard(sender.instance)
        self._set_state(sender.instance, view_lib.LEAVING)

    def _relay(self, message: Any) -> None:
        passed = msgspec.structs.replace(message, relay_to=())
        for receiver in message.relay_to:
            self._send(receiver, passed)

    def _on_suspected(
        self, sender: peers_lib.Sender, message: messages.Suspected
    ) -> None:
        self.heard(sender.instance, sender.incarnation)
        self._relay(message)
        for instance, incarnation in message.incarnations_by_id.items():
            member = self.view.members_by_id.get(instance)
            if member is not None and member.incarnation == incarnation:
                self._accuse(instance)

    def _accuse(self, instance: str) -> None:
        delay_s = self._prober.accuse(instance, self._now())
        if delay_s is not None:
            self._ping(instance)
            self._judge_after(delay_s)

    def _on_request(
        self, sender: peers_lib.Sender, message: messages.MembershipRequest
    ) -> None:
        del message
        members = [
            member
            for member in self.view.members_by_id.values()
            if member.state == view_lib.LIVE
        ]
        self._send(sender.instance, _digest_of(members))

    def _on_digest(
        self, sender: peers_lib.Sender, message: messages.MembershipDigest
    ) -> None:
        self.heard(sender.instance, sender.incarnation)
        self._relay(message)
        self._listed.difference_update(message.unlisted)
        domain = self.view.domain_of(sender.instance)
        with self.view.batch():
            for item in message.members:
                self._take(item, item.failure_domain == domain)

    def _take(self, item: messages.MemberState, authoritative: bool) -> None:
        """Takes what a digest says of one member.

        Args:
            item: The member as the sender sees it.
            authoritative: Whether the sender is of the member's failure
                domain and hence pings it.
        """
        if item.instance == self._own:
            return
        member = self.view.members_by_id.get(item.instance)
        if member is None:
            if item.state in (view_lib.LIVE, view_lib.LISTED):
                self._add(item.instance, item.failure_domain, item.address)
            return
        if member.incarnation != item.incarnation:
            if member.state != view_lib.LIVE:
                self._first_pings[item.instance] = None
            return
        silent_s = self._now() - self._prober.heard_s(item.instance)
        if item.state == view_lib.LEAVING:
            if member.state != view_lib.LEAVING:
                self._leaving_by_list.add(item.instance)
            self._set_state(item.instance, view_lib.LEAVING)
        elif item.state == view_lib.LISTED:
            self._unleave(item.instance)
        elif item.state == view_lib.SUSPECT:
            if authoritative and silent_s > _OWN_EVIDENCE_S:
                self._accuse(item.instance)
        elif member.state == view_lib.SUSPECT:
            self._first_pings[item.instance] = None

    # Timers.

    async def _run(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:  # noqa: BLE001
                _log.exception("membership_tick_failed")
            await asyncio.sleep(_TICK_S)

    def _tick(self) -> None:
        self._kernel.pauses.check()
        self._tick_count += 1
        self._schedule_judgements()
        for instance in list(self._first_pings)[:_FIRST_PINGS_PER_TICK]:
            del self._first_pings[instance]
            self._settled_s = self._now() + prober_lib.SILENCE_S
            self._unsettled_until_s[instance] = self._settled_s
        # A message to a peer whose connection is not open yet is lost, hence
        # first pings are repeated until they are answered.
        for instance in self._unsettled():
            self._ping(instance)
        for instance in self._prober.late_neighbours(self._now()):
            self._ping(instance)
        if self._tick_count % _ROUND_TICKS == 0:
            self._send_heartbeats()
            for instance in self._prober.round_targets(self._now()):
                self._ping(instance)
        if self._tick_count % _FOREIGN_TICKS == 0:
            foreign = self._prober.foreign_target()
            if foreign is not None:
                self._ping(foreign)
        if self._tick_count % _DIGEST_TICKS == 0:
            self._send_digest()
            self._tend_silent()

    def _unsettled(self) -> list[str]:
        now_s = self._now()
        for instance, until_s in list(self._unsettled_until_s.items()):
            if until_s <= now_s:
                del self._unsettled_until_s[instance]
        return list(self._unsettled_until_s)[: 2 * _FIRST_PINGS_PER_TICK]

    def _judge_round(self, due_s: float) -> None:
        """Schedules one judgement for all pings of a round."""
        last_s = self._rounds_due_s[-1] if self._rounds_due_s else None
        if last_s is None or not last_s - _ROUND_JUDGE_S <= due_s <= last_s:
            bisect.insort(self._rounds_due_s, due_s + _ROUND_JUDGE_S)

    def _schedule_judgements(self) -> None:
        """Starts the timers of the rounds that are due before the next tick.

        Nearly all pings are answered by then and need no timer.
        """
        now_s = self._now()
        soon_s = now_s + 2 * _TICK_S
        while self._rounds_due_s and self._rounds_due_s[0] <= soon_s:
            due_s = self._rounds_due_s.pop(0)
            if self._prober.awaits_before(due_s):
                asyncio.get_running_loop().call_later(
                    max(0.0, due_s - now_s), self._judge, due_s, False
                )

    def _judge_after(self, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(
            delay_s, self._judge, self._now() + delay_s, False
        )

    def _judge(self, due_s: float, postponed: bool) -> None:
        if self._kernel.pauses.check():
            return
        if self._now() - due_s > _LATE_TIMER_S and not postponed:
            asyncio.get_running_loop().call_later(
                _LATE_TIMER_S, self._judge, due_s, True
            )
            return
        silent = self._prober.silent(self._now() + 1e-6)
        accused = [name for name in silent if self._prober.observes(name)]
        if accused:
            self._spread_suspicion(accused)
        with self.view.batch():
            for instance in silent:
                self._set_state(instance, view_lib.SUSPECT)
            for instance in silent:
                self._look_for_cut(instance)

    def _look_for_cut(self, instance: str) -> None:
        probes, cut = self._prober.missed(instance)
        for other in probes:
            self._ping(other)
        if not cut:
            return
        failure_domain = self.view.domain_of(instance)
        members = self._prober.cut(failure_domain)
        for member in members:
            self._set_state(member, view_lib.SUSPECT)
        if members:
            _log.warning(
                "failure_domain_cut_off",
                failure_domain=failure_domain,
                members=len(members),
            )

    def _spread_suspicion(self, accused: list[str]) -> None:
        incarnations_by_id = {
            name: self.view.members_by_id[name].incarnation for name in accused
        }
        receivers = [
            name
            for name in self.view.live()
            if name != self._own and name not in incarnations_by_id
        ]
        for receiver, relay_to in spread.relay_groups(
            receivers, self._kernel.rng
        ):
            self._send(
                receiver, messages.Suspected(incarnations_by_id, relay_to)
            )

    def _send_digest(self) -> None:
        """Tells another failure domain of the members of the own one."""
        domains = [name for name in self.view.domains() if name != self._domain]
        if not domains:
            return
        domain = self._kernel.rng.choice(domains)
        receiver = self._kernel.rng.choice(self.view.live(domain))
        own = [
            self.view.members_by_id[name]
            for name in self.view.known(self._domain)
        ]
        live = [item for item in own if item.state == view_lib.LIVE]
        others = [
            item
            for item in own
            if item.state in (view_lib.SUSPECT, view_lib.LEAVING)
        ]
        count = min(len(live), _DIGEST_LIVE_MEMBERS)
        chosen = self._kernel.rng.sample(live, count)
        self._send(
            receiver, _digest_of(others[:_DIGEST_OTHER_MEMBERS] + chosen)
        )

    def _tend_silent(self) -> None:
        """Reconnects to suspected members and forgets those long gone."""
        now_s = self._now()
        peers = self._kernel.plugin("peers")
        with self.view.batch():
            for member in list(self.view.members_by_id.values()):
                instance = member.instance
                if member.state == view_lib.LIVE:
                    continue
                silent_s = now_s - self._last_evidence_s(instance)
                if silent_s >= _FORGET_S and instance not in self._listed:
                    self._forget(instance)
                elif (
                    silent_s >= _RECONNECT_S
                    and instance not in self._reconnected
                ):
                    self._reconnected.add(instance)
                    peers.disconnect(instance)
                    peers.connect(instance, member.address)

    def _on_wake(self, pause_s: float) -> None:
        """Trusts nothing that was believed before a pause."""
        now_s = self._now()
        _log.warning("process_was_paused", pause_s=pause_s)
        self._kernel.metrics.count("process_pauses")
        self._prober.reset()
        self._follower.wakes += 1
        self._validated = False
        self._valid_sequence = self._sequence + 1
        self._unreachable_ready_s = now_s + _UNREACHABLE_READY_S
        self._unsettled_until_s.clear()
        for instance in self.view.members_by_id:
            if instance != self._own:
                self._first_pings[instance] = None

    # The platform's list.

    def is_reader(self) -> bool:
        """Whether this instance reads the platform for its domain."""
        return self._own in self.readers()

    def readers(self) -> list[str]:
        """Returns the instances that read the platform for this domain."""
        return self._readers.names

    def subscribe_upstreams(
        self, listener: Callable[[Mapping[str, str]], None]
    ) -> None:
        """Adds a listener for the upstreams' states by replica in the list."""
        self._upstream_listeners.append(listener)

    def _on_list(
        self, listed: platform_lib.InstanceList, current: bool
    ) -> None:
        self._take_list(listed.instances)
        for listener in self._upstream_listeners:
            listener(listed.upstream_states)
        self._validated |= current

    def _take_list(self, items: Iterable[platform_lib.ListedInstance]) -> None:
        items_by_id = {item.id: item for item in items}
        added = items_by_id.keys() - self._listed
        removed = self._listed - items_by_id.keys()
        first = not self._list_read
        self._list_read = True
        self._listed = set(items_by_id)
        changed = set()
        # In the list's order, all instances of a starting fleet would ping
        # the same ones at the same time.
        shuffled = list(items_by_id.values())
        self._kernel.rng.shuffle(shuffled)
        with self.view.batch():
            for item in shuffled:
                if self._take_listed(item):
                    changed.add(item.id)
        if not first and (added or removed or changed):
            self._spread_list(added | changed, removed)

    def _take_listed(self, item: platform_lib.ListedInstance) -> bool:
        """Takes one entry; True if its state in the list has changed."""
        if item.id == self._own:
            return False
        self._add(item.id, item.failure_domain, item.peer)
        member = self.view.members_by_id[item.id]
        if member.address != item.peer and member.state != view_lib.LIVE:
            self._kernel.plugin("peers").connect(item.id, item.peer)
            self.view.put(dataclasses.replace(member, address=item.peer))
            self._first_pings[item.id] = None
        before = self._list_state_by_id.get(item.id)
        self._list_state_by_id[item.id] = item.state
        if item.state == before:
            return False
        if item.state == view_lib.LEAVING:
            self._leaving_by_list.add(item.id)
            self._set_state(item.id, view_lib.LEAVING)
        else:
            self._unleave(item.id)
        return before is not None

    def _unleave(self, instance: str) -> None:
        """Takes back what only the list had said."""
        if instance in self._leaving_by_list:
            self._leaving_by_list.discard(instance)
            self._set_state(instance, view_lib.LISTED)
            self._first_pings[instance] = None

    def _spread_list(self, changed: set[str], removed: set[str]) -> None:
        members = tuple(
            _state_of(self.view.members_by_id[name])
            for name in sorted(changed - {self._own})
        )
        receivers = [
            name for name in self.view.live(self._domain) if name != self._own
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


def _state_of(member: view_lib.Member) -> messages.MemberState:
    return messages.MemberState(
        member.instance,
        member.failure_domain,
        member.address,
        member.incarnation,
        member.state,
    )


def _digest_of(
    members: Iterable[view_lib.Member],
) -> messages.MembershipDigest:
    return messages.MembershipDigest(
        tuple(_state_of(member) for member in members), (), ()
    )
