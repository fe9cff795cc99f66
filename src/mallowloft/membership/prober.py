"""Whom to ping and whom to suspect; decisions without I/O."""

from collections.abc import Callable
import random

from mallowloft.membership import rendezvous
from mallowloft.membership import view as view_lib

# Silence, while pinged, after which a member is suspected.
SILENCE_S = 0.25
# A member that a peer suspects gets one round trip to prove otherwise. Members
# of other failure domains get more, for the latency between regions.
ACCUSED_SILENCE_S = 0.05
ACCUSED_FOREIGN_SILENCE_S = 0.1
# Every live member is observed by this many neighbours of its own failure
# domain, so that the first ping after a failure is never late.
RING_SUCCESSORS = 2
# Ring neighbours announce themselves at this interval without being asked.
HEARTBEAT_S = 0.1
# A neighbour is pinged if its heartbeat is this late in all; less would ping
# whenever a busy loop delays a heartbeat by a few milliseconds.
HEARTBEAT_LATE_S = 0.13
# Pings get at least this time even if the heartbeats stopped long ago.
_MIN_PINGED_S = 0.15
# A member with outstanding requests is pinged once it was silent this long.
EXPECTED_SILENCE_S = 0.1
# How long one call of `expect` keeps a member under observation.
EXPECTED_LIFETIME_S = 2.0
# Limits pings of one round to members with outstanding requests.
_MAX_EXPECTED_PINGS = 16
_MAX_REPEATED_PINGS = 32
_NOT_LIVE_PINGS = 2
# The turn over the domain finds single broken links; failures show in the ring.
_ROUNDS_PER_TURN = 2
# Once a member is silent, this many others of its failure domain are pinged. If
# all of them are silent, too, the whole domain counts as cut off.
_CUT_PROBES = 4
_NOT_LIVE_STATES = (view_lib.LISTED, view_lib.SUSPECT, view_lib.LEAVING)


class Prober:
    """Evidence of life and the pings that look for it.

    All times are readings of the caller's clock in seconds.
    """

    def __init__(
        self, view: view_lib.View, own: str, own_domain: str, rng: random.Random
    ) -> None:
        self._view = view
        self._own = own
        self._own_domain = own_domain
        self._rng = rng
        self._heard_s: dict[str, float] = {}
        self._judged_s: dict[str, float] = {}
        self._on_hearsay: set[str] = set()
        self._expected_until_s: dict[str, float] = {}
        self._rounds_by_group: dict[str, list[str]] = {}
        self._ring: list[str] = []
        self._announced: list[str] = []
        self._foreign_turn = 0
        self._round_count = 0
        self._cut_probes_by_domain: dict[str, set[str]] = {}
        self._cut_by_domain: dict[str, set[str]] = {}
        view.subscribe(self._forget_ring)

    def heard(self, instance: str, now_s: float) -> None:
        """Records evidence of life."""
        self._heard_s[instance] = now_s
        self._judged_s.pop(instance, None)
        self._on_hearsay.discard(instance)

    def heard_domain(self, failure_domain: str) -> list[str]:
        """Records contact with a failure domain.

        Returns:
            Members that were suspected only because the domain was cut off.
        """
        if self._cut_probes_by_domain:
            self._cut_probes_by_domain.pop(failure_domain, None)
        if not self._cut_by_domain:
            return []
        return sorted(self._cut_by_domain.pop(failure_domain, ()))

    def heard_s(self, instance: str) -> float:
        """Returns when a member was last heard of, minus infinity if never."""
        return self._heard_s.get(instance, float("-inf"))

    def expect(self, instance: str, now_s: float) -> None:
        """Keeps a member with outstanding requests under observation."""
        self._expected_until_s[instance] = now_s + EXPECTED_LIFETIME_S

    def pinged(self, instance: str, now_s: float) -> bool:
        """Records a ping; True if silence counts from this one."""
        if self._view.state_of(instance) != view_lib.LIVE:
            return False
        if instance in self._judged_s:
            return False
        self._judged_s[instance] = self._judge_at_s(instance, now_s)
        return True

    def judged_s(self, instance: str) -> float:
        """Returns when the silence of a pinged member is judged."""
        return self._judged_s[instance]

    def _judge_at_s(self, instance: str, now_s: float) -> float:
        """Counts the time without heartbeats as part of the silence."""
        due_s = now_s + SILENCE_S
        if instance in self._ring_targets():
            since_s = self.heard_s(instance) + HEARTBEAT_S
            if since_s + SILENCE_S >= now_s + _MIN_PINGED_S:
                return min(due_s, since_s + SILENCE_S)
        return due_s

    def accuse(self, instance: str, now_s: float) -> float | None:
        """Shortens the silence that is granted to a suspected member.

        Returns:
            Seconds until its silence is judged, None if it is not live.
        """
        if self._view.state_of(instance) != view_lib.LIVE:
            return None
        limit_s = ACCUSED_FOREIGN_SILENCE_S
        if self._view.domain_of(instance) == self._own_domain:
            limit_s = ACCUSED_SILENCE_S
        judged_s = self._judged_s.get(instance)
        if judged_s is None:
            self._on_hearsay.add(instance)
            judged_s = now_s + limit_s
        self._judged_s[instance] = min(judged_s, now_s + limit_s)
        return max(0.0, self._judged_s[instance] - now_s)

    def awaits_before(self, due_s: float) -> bool:
        """Whether silence that is judged by this time is not over yet."""
        return any(judged_s <= due_s for judged_s in self._judged_s.values())

    def silent(self, now_s: float) -> list[str]:
        """Removes and returns live members that were silent too long."""
        silent = [
            instance
            for instance, judged_s in self._judged_s.items()
            if judged_s <= now_s
        ]
        for instance in silent:
            del self._judged_s[instance]
        return [
            instance
            for instance in silent
            if self._view.state_of(instance) == view_lib.LIVE
        ]

    def missed(self, instance: str) -> tuple[list[str], bool]:
        """Looks whether the failure domain of a silent member is cut off.

        Only the silence of members that are pinged for this purpose counts:
        several that failed together say nothing of the others.

        Returns:
            Members of the domain to ping at once, and whether the whole
            domain is now considered cut off.
        """
        failure_domain = self._view.domain_of(instance) or ""
        probes = self._cut_probes_by_domain.get(failure_domain)
        if probes is not None:
            probes.discard(instance)
            return [], not probes
        others = [
            name
            for name in self._view.live(failure_domain)
            if name not in (instance, self._own)
        ]
        chosen = self._rng.sample(others, min(len(others), _CUT_PROBES))
        self._cut_probes_by_domain[failure_domain] = set(chosen)
        return chosen, not chosen

    def cut(self, failure_domain: str) -> list[str]:
        """Marks a failure domain as cut off.

        Returns:
            Its live members, all to be suspected.
        """
        self._cut_probes_by_domain.pop(failure_domain, None)
        live = [
            name
            for name in self._view.live(failure_domain)
            if name != self._own
        ]
        self._cut_by_domain.setdefault(failure_domain, set()).update(
            live,
            (
                name
                for name in self._view.known(failure_domain)
                if self._view.state_of(name) == view_lib.SUSPECT
            ),
        )
        for instance in live:
            self._judged_s.pop(instance, None)
        return live

    def round_targets(self, now_s: float) -> list[str]:
        """Returns whom to ping in a round within the own failure domain."""
        targets: dict[str, None] = {}
        self._round_count += 1
        if self._round_count % _ROUNDS_PER_TURN == 0:
            following = self._next_of("own", self._own_live)
            if following is not None and self._late(following, now_s):
                targets[following] = None
        for instance in list(self._judged_s)[:_MAX_REPEATED_PINGS]:
            targets[instance] = None
        for instance in self._expected_targets(now_s):
            targets[instance] = None
        for _ in range(_NOT_LIVE_PINGS):
            following = self._next_of("not_live", self._view.not_live)
            if following is not None:
                targets[following] = None
        targets.pop(self._own, None)
        return list(targets)

    def late_neighbours(self, now_s: float) -> list[str]:
        """Returns observed members without a heartbeat that are not pinged."""
        return [
            instance
            for instance in self._ring_targets()
            if instance not in self._judged_s and self._late(instance, now_s)
        ]

    def heartbeat_targets(self) -> list[str]:
        """Returns the ring neighbours that observe this instance."""
        self._ring_targets()
        return self._announced

    def _late(self, instance: str, now_s: float) -> bool:
        return now_s - self.heard_s(instance) >= HEARTBEAT_LATE_S

    def foreign_target(self) -> str | None:
        """Returns a member of another failure domain, domains in turn."""
        domains = sorted({*self._view.known_domains()} - {self._own_domain})
        if not domains:
            return None
        self._foreign_turn += 1
        failure_domain = domains[self._foreign_turn % len(domains)]
        return self._rng.choice(
            self._view.live(failure_domain) or self._view.known(failure_domain)
        )

    def forget(self, instance: str) -> None:
        """Drops everything held of a member."""
        self._heard_s.pop(instance, None)
        self._judged_s.pop(instance, None)
        self._on_hearsay.discard(instance)
        self._expected_until_s.pop(instance, None)

    def reset(self) -> None:
        """Drops what was observed before a pause of this process."""
        self._judged_s.clear()
        self._on_hearsay.clear()
        self._expected_until_s.clear()
        self._cut_probes_by_domain.clear()

    def _own_live(self) -> list[str]:
        return self._view.live(self._own_domain)

    def _expected_targets(self, now_s: float) -> list[str]:
        targets = []
        for instance, until_s in list(self._expected_until_s.items()):
            if until_s < now_s:
                del self._expected_until_s[instance]
            elif (
                now_s - self.heard_s(instance) >= EXPECTED_SILENCE_S
                and instance not in self._judged_s
                and len(targets) < _MAX_EXPECTED_PINGS
            ):
                targets.append(instance)
        return targets

    def _next_of(
        self, group: str, candidates: Callable[[], list[str]]
    ) -> str | None:
        """Returns the next of a shuffled round over the candidates."""
        order = self._rounds_by_group.setdefault(group, [])
        if not order:
            order.extend(candidates())
            self._rng.shuffle(order)
        allowed = (view_lib.LIVE,) if group == "own" else _NOT_LIVE_STATES
        while order:
            instance = order.pop()
            if instance == self._own:
                continue
            if self._view.state_of(instance) in allowed:
                return instance
        return None

    def _forget_ring(self) -> None:
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
        self._announced = []
        if self._own in ring:
            start = ring.index(self._own)
            rotated = ring[start + 1 :] + ring[:start]
            targets.extend(rotated[:RING_SUCCESSORS])
            self._announced = rotated[-RING_SUCCESSORS:]
        for failure_domain in self._view.domains():
            alone = self._view.live(failure_domain)
            if failure_domain != self._own_domain and len(alone) == 1:
                targets.extend(self._monitored(alone[0]))
        return targets

    def _monitored(self, alone: str) -> list[str]:
        """Returns a member without neighbours if this instance observes it."""
        candidates = [name for name in self._view.live() if name != alone]
        observers = rendezvous.ranked(candidates, alone)[:RING_SUCCESSORS]
        return [alone] if self._own in observers else []

    def observes(self, instance: str) -> bool:
        """Whether others rely on this instance's suspicion of a member.

        What was pinged only because a peer suspected it is not passed on:
        every member of a domain would tell all others.
        """
        if instance in self._on_hearsay:
            return False
        return (
            self._view.domain_of(instance) == self._own_domain
            or instance in self._ring_targets()
        )
