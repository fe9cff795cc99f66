"""Failure detection: decides which members to ping and to suspect.

This module performs no I/O.
"""

from collections.abc import Callable
import random

from mallowloft.membership import rendezvous
from mallowloft.membership import view as view_lib

# A pinged member that sends no message within this time becomes suspect.
PING_TIMEOUT_S = 0.25
# A member that a peer reports as suspect has one round trip to answer a ping.
# Members of other failure domains have more time because of the latency between
# failure domains.
REPORTED_TIMEOUT_S = 0.05
REPORTED_REMOTE_TIMEOUT_S = 0.1
# The live members of a domain, ordered by hash, form a ring. Every live member
# is monitored by this many ring neighbours of its own failure domain, so that
# pings start soon after a failure. The only live member of a domain is
# monitored by as many members of other domains.
RING_SUCCESSORS = 2
# Interval at which an instance sends unsolicited heartbeats to the ring
# neighbours that monitor it.
HEARTBEAT_INTERVAL_S = 0.1
# A neighbour is pinged as soon as a check finds that its last message is this
# old. A lower value would cause a ping whenever a busy event loop delays a
# heartbeat by a few milliseconds.
HEARTBEAT_OVERDUE_S = 0.13
# A deadline is shortened because of a missing heartbeat only if this much time
# is left to answer the ping.
_MIN_PING_TIMEOUT_S = 0.15
# A member with outstanding requests is pinged after this period of silence.
MONITORED_PING_DELAY_S = 0.1
# How long one call of `monitor` causes a member to be monitored.
MONITORED_LIFETIME_S = 2.0
# Maximum number of pings per round that go to members with outstanding
# requests.
_MAX_MONITORED_PINGS_PER_ROUND = 16
_MAX_REPEATED_PINGS_PER_ROUND = 32
_NOT_LIVE_PINGS_PER_ROUND = 2
# One of this many rounds pings the next live member of the instance's own
# domain, in shuffled order, if that member has been silent for
# `HEARTBEAT_OVERDUE_S`. This detects single broken links; the ring detects
# failed members.
_ROUNDS_PER_LINK_CHECK = 2
# When a member times out, this many others of its failure domain are pinged. If
# all of them time out as well, the whole domain is considered unreachable.
_DOMAIN_PROBES = 4
_NOT_LIVE_STATES = (view_lib.LISTED, view_lib.SUSPECT, view_lib.LEAVING)


class Prober:
    """Tracks received messages and selects the members to ping.

    All times are in seconds on the caller's clock.
    """

    def __init__(
        self,
        view: view_lib.View,
        own_id: str,
        own_domain: str,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._own_id = own_id
        self._own_domain = own_domain
        self._rng = rng
        self._last_heard_s_by_id: dict[str, float] = {}
        self._ping_deadline_s_by_id: dict[str, float] = {}
        self._reported_only: set[str] = set()
        self._monitored_until_s_by_id: dict[str, float] = {}
        self._remaining_by_group: dict[str, list[str]] = {}
        self._ring: list[str] = []
        self._heartbeat_targets: list[str] = []
        self._remote_ping_count = 0
        self._round_count = 0
        self._unanswered_probes_by_domain: dict[str, set[str]] = {}
        self._suspects_by_unreachable_domain: dict[str, set[str]] = {}
        view.subscribe(self._invalidate_ring)

    def record_message(self, instance: str, now_s: float) -> None:
        """Records that a message from a member has arrived."""
        self._last_heard_s_by_id[instance] = now_s
        self._ping_deadline_s_by_id.pop(instance, None)
        self._reported_only.discard(instance)

    def record_domain_contact(self, failure_domain: str) -> list[str]:
        """Records contact with a failure domain.

        Returns:
            Members of the domain that were or became suspect when it was marked
            unreachable.
        """
        if self._unanswered_probes_by_domain:
            self._unanswered_probes_by_domain.pop(failure_domain, None)
        if not self._suspects_by_unreachable_domain:
            return []
        return sorted(
            self._suspects_by_unreachable_domain.pop(failure_domain, ())
        )

    def last_heard_s(self, instance: str) -> float:
        """Returns when a member last sent a message, -inf if never."""
        return self._last_heard_s_by_id.get(instance, float("-inf"))

    def monitor(self, instance: str, now_s: float) -> None:
        """Monitors a member that has outstanding requests."""
        self._monitored_until_s_by_id[instance] = now_s + MONITORED_LIFETIME_S

    def record_ping(self, instance: str, now_s: float) -> bool:
        """Records a ping; returns whether it sets a new deadline."""
        if self._view.state_of(instance) != view_lib.LIVE:
            return False
        if instance in self._ping_deadline_s_by_id:
            return False
        self._ping_deadline_s_by_id[instance] = self._compute_deadline_s(
            instance, now_s
        )
        return True

    def ping_deadline_s(self, instance: str) -> float:
        """Returns the deadline for a pinged member to send a message."""
        return self._ping_deadline_s_by_id[instance]

    def _compute_deadline_s(self, instance: str, now_s: float) -> float:
        """Returns the deadline for an answer to a ping.

        If the heartbeat of a ring target is late, the timeout counts from when
        it was due, provided that at least `_MIN_PING_TIMEOUT_S` remains.
        Heartbeats missing for longer do not shorten the deadline.
        """
        deadline_s = now_s + PING_TIMEOUT_S
        if instance in self._ring_targets():
            heartbeat_due_s = self.last_heard_s(instance) + HEARTBEAT_INTERVAL_S
            if heartbeat_due_s + PING_TIMEOUT_S >= now_s + _MIN_PING_TIMEOUT_S:
                return min(deadline_s, heartbeat_due_s + PING_TIMEOUT_S)
        return deadline_s

    def set_reported_deadline(
        self, instance: str, now_s: float
    ) -> float | None:
        """Sets or shortens the deadline of a member reported as suspect.

        A member without a deadline gets one; an existing one is only shortened.

        Returns:
            Seconds until the deadline, None if the member is not live.
        """
        if self._view.state_of(instance) != view_lib.LIVE:
            return None
        timeout_s = REPORTED_REMOTE_TIMEOUT_S
        if self._view.domain_of(instance) == self._own_domain:
            timeout_s = REPORTED_TIMEOUT_S
        deadline_s = self._ping_deadline_s_by_id.get(instance)
        if deadline_s is None:
            self._reported_only.add(instance)
            deadline_s = now_s + timeout_s
        self._ping_deadline_s_by_id[instance] = min(
            deadline_s, now_s + timeout_s
        )
        return max(0.0, self._ping_deadline_s_by_id[instance] - now_s)

    def has_deadline_before(self, time_s: float) -> bool:
        """Whether any unanswered ping has its deadline by the given time."""
        return any(
            deadline_s <= time_s
            for deadline_s in self._ping_deadline_s_by_id.values()
        )

    def pop_silent(self, now_s: float) -> list[str]:
        """Removes expired deadlines and returns their live members."""
        silent = [
            instance
            for instance, deadline_s in self._ping_deadline_s_by_id.items()
            if deadline_s <= now_s
        ]
        for instance in silent:
            del self._ping_deadline_s_by_id[instance]
        return [
            instance
            for instance in silent
            if self._view.state_of(instance) == view_lib.LIVE
        ]

    def probe_domain(self, instance: str) -> tuple[list[str], bool]:
        """Checks whether a timed-out member's failure domain is unreachable.

        Only the members selected here as probes count. Several members that
        failed together are no evidence about the rest of the domain.

        Returns:
            Members of the domain to ping immediately, and whether the whole
            domain is now considered unreachable.
        """
        failure_domain = self._view.domain_of(instance) or ""
        probes = self._unanswered_probes_by_domain.get(failure_domain)
        if probes is not None:
            probes.discard(instance)
            return [], not probes
        others = [
            name
            for name in self._view.live(failure_domain)
            if name not in (instance, self._own_id)
        ]
        sampled = self._rng.sample(others, min(len(others), _DOMAIN_PROBES))
        self._unanswered_probes_by_domain[failure_domain] = set(sampled)
        return sampled, not sampled

    def mark_domain_unreachable(self, failure_domain: str) -> list[str]:
        """Marks a failure domain as unreachable.

        Returns:
            The live members of the domain, which become suspect.
        """
        self._unanswered_probes_by_domain.pop(failure_domain, None)
        live = [
            name
            for name in self._view.live(failure_domain)
            if name != self._own_id
        ]
        self._suspects_by_unreachable_domain.setdefault(
            failure_domain, set()
        ).update(
            live,
            (
                name
                for name in self._view.known(failure_domain)
                if self._view.state_of(name) == view_lib.SUSPECT
            ),
        )
        for instance in live:
            self._ping_deadline_s_by_id.pop(instance, None)
        return live

    def round_targets(self, now_s: float) -> list[str]:
        """Returns the members to ping in one round of 0.1 s."""
        targets: dict[str, None] = {}
        self._round_count += 1
        if self._round_count % _ROUNDS_PER_LINK_CHECK == 0:
            next_target = self._next_shuffled("own", self._own_live)
            if next_target is not None and self._is_silent(next_target, now_s):
                targets[next_target] = None
        for instance in list(self._ping_deadline_s_by_id)[
            :_MAX_REPEATED_PINGS_PER_ROUND
        ]:
            targets[instance] = None
        for instance in self._monitored_targets(now_s):
            targets[instance] = None
        for _ in range(_NOT_LIVE_PINGS_PER_ROUND):
            next_target = self._next_shuffled("not_live", self._view.not_live)
            if next_target is not None:
                targets[next_target] = None
        targets.pop(self._own_id, None)
        return list(targets)

    def overdue_targets(self, now_s: float) -> list[str]:
        """Returns ring targets that are silent and have no unanswered ping."""
        return [
            instance
            for instance in self._ring_targets()
            if instance not in self._ping_deadline_s_by_id
            and self._is_silent(instance, now_s)
        ]

    def heartbeat_targets(self) -> list[str]:
        """Returns the ring neighbours that monitor this instance."""
        # Computes the ring, and with it the heartbeat targets, if needed.
        self._ring_targets()
        return self._heartbeat_targets

    def _is_silent(self, instance: str, now_s: float) -> bool:
        return now_s - self.last_heard_s(instance) >= HEARTBEAT_OVERDUE_S

    def remote_target(self) -> str | None:
        """Returns a random member of the next other failure domain."""
        domains = sorted({*self._view.known_domains()} - {self._own_domain})
        if not domains:
            return None
        self._remote_ping_count += 1
        failure_domain = domains[self._remote_ping_count % len(domains)]
        return self._rng.choice(
            self._view.live(failure_domain) or self._view.known(failure_domain)
        )

    def forget(self, instance: str) -> None:
        """Removes the times, deadlines and reports stored for a member."""
        self._last_heard_s_by_id.pop(instance, None)
        self._ping_deadline_s_by_id.pop(instance, None)
        self._reported_only.discard(instance)
        self._monitored_until_s_by_id.pop(instance, None)

    def reset(self) -> None:
        """Discards ping deadlines, reports, monitoring times and domain probes.

        Called after a process pause. Times of received messages and the
        suspects of unreachable domains are kept.
        """
        self._ping_deadline_s_by_id.clear()
        self._reported_only.clear()
        self._monitored_until_s_by_id.clear()
        self._unanswered_probes_by_domain.clear()

    def _own_live(self) -> list[str]:
        return self._view.live(self._own_domain)

    def _monitored_targets(self, now_s: float) -> list[str]:
        targets = []
        for instance, until_s in list(self._monitored_until_s_by_id.items()):
            if until_s < now_s:
                del self._monitored_until_s_by_id[instance]
            elif (
                now_s - self.last_heard_s(instance) >= MONITORED_PING_DELAY_S
                and instance not in self._ping_deadline_s_by_id
                and len(targets) < _MAX_MONITORED_PINGS_PER_ROUND
            ):
                targets.append(instance)
        return targets

    def _next_shuffled(
        self, group: str, candidates: Callable[[], list[str]]
    ) -> str | None:
        """Returns the next candidate in shuffled order."""
        order = self._remaining_by_group.setdefault(group, [])
        if not order:
            order.extend(candidates())
            self._rng.shuffle(order)
        allowed = (view_lib.LIVE,) if group == "own" else _NOT_LIVE_STATES
        while order:
            instance = order.pop()
            if instance == self._own_id:
                continue
            if self._view.state_of(instance) in allowed:
                return instance
        return None

    def _invalidate_ring(self) -> None:
        self._ring = []

    def _ring_targets(self) -> list[str]:
        if not self._ring:
            self._ring = self._compute_ring()
        return self._ring

    def _compute_ring(self) -> list[str]:
        ring = sorted(
            self._view.live(self._own_domain),
            key=lambda instance: rendezvous.weight(instance, "ring"),
        )
        targets = []
        self._heartbeat_targets = []
        if self._own_id in ring:
            start = ring.index(self._own_id)
            rotated = ring[start + 1 :] + ring[:start]
            targets.extend(rotated[:RING_SUCCESSORS])
            self._heartbeat_targets = rotated[-RING_SUCCESSORS:]
        for failure_domain in self._view.live_domains():
            live = self._view.live(failure_domain)
            if failure_domain != self._own_domain and len(live) == 1:
                targets.extend(self._singleton_ring_target(live[0]))
        return targets

    def _singleton_ring_target(self, instance: str) -> list[str]:
        """Returns the only member of a domain if this instance monitors it."""
        candidates = [name for name in self._view.live() if name != instance]
        monitors = rendezvous.ranked(candidates, instance)[:RING_SUCCESSORS]
        return [instance] if self._own_id in monitors else []

    def should_report(self, instance: str) -> bool:
        """Whether this instance should report a suspect to all others.

        A member that was pinged only because a peer reported it is not
        reported again. Otherwise every member of a domain would send a report
        to every other member.
        """
        if instance in self._reported_only:
            return False
        return (
            self._view.domain_of(instance) == self._own_domain
            or instance in self._ring_targets()
        )
