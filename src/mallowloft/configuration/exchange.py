"""Spread of accepted subtrees between instances."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import store as store_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.membership import spread
from mallowloft.membership import view as view_lib

_log = logs.get("configuration")

ANTI_ENTROPY_S = 1.0
# Every so many digests go to another failure domain.
_FOREIGN_DIGEST_TURNS = 4
# Receivers in each other failure domain of what a watcher has read.
_FOREIGN_RECEIVERS = 2
# During the spread of a change digests differ for some milliseconds; only a
# difference that lasts longer starts an exchange.
_DIFFERENCE_S = 0.15
# News of another failure domain is spread in the own one after this time
# unless the own watchers do so first.
_FOREIGN_NEWS_MIN_S = 0.05
_FOREIGN_NEWS_MAX_S = 0.25
_MAX_CHUNK_BYTES = 1 << 20
# Two instances of different versions may never agree on a subtree. Exchanges
# for the same pair of digests are limited within this time.
_SAME_PAIR_S = 30.0
_SAME_PAIR_EXCHANGES = 3
_OWN_PEERS_ASKED = 3


class Exchange:
    """Pushes, relays and digests of one instance.

    Attributes:
        loaded: Whether a whole configuration has once been taken.
        caught_up: Loaded peers whose content has been taken since `ask`.
        answered: Peers that answered since `ask`, loaded or not.
    """

    def __init__(
        self, kernel: lifecycle.Kernel, store: store_lib.Store
    ) -> None:
        self._kernel = kernel
        self._store = store
        self.loaded = False
        self.caught_up: set[str] = set()
        self.answered: set[str] = set()
        self._round = 0
        self._wanted_by_peer: dict[str, tuple[str, ...]] = {}
        self._missing_by_peer: dict[str, set[str]] = {}
        self._differing: dict[str, bytes] = {}
        self._check_scheduled = False
        self._exchanges_by_pair: dict[
            tuple[bytes, bytes], tuple[float, int]
        ] = {}
        self._foreign_news: dict[str, int] = {}
        self._turn = 0

    def start(self) -> None:
        """Registers the message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.ConfigDigest, self._on_digest)
        peers.on(messages.ConfigRequest, self._on_request)
        peers.on(messages.ConfigSubtrees, self._on_subtrees)

    def ask(self) -> set[str]:
        """Asks peers of every failure domain for their state.

        Returns:
            The peers that were asked.
        """
        self._round += 1
        self.caught_up.clear()
        self.answered.clear()
        self._wanted_by_peer.clear()
        self._missing_by_peer.clear()
        rng = self._kernel.rng
        # The readers are the first to have a configuration when a whole
        # fleet starts.
        readers = self._kernel.plugin("membership").readers()
        asked = set(readers) - {self._kernel.settings.instance_id}
        for domain in self._view.domains():
            others = self._others(domain)
            own = domain == self._kernel.settings.failure_domain
            count = min(len(others), _OWN_PEERS_ASKED if own else 1)
            asked.update(rng.sample(others, count))
        for peer in asked:
            self._send_question(peer)
        return asked

    @property
    def catching_up(self) -> bool:
        """Whether content of a loaded peer is still under way."""
        return bool(self._missing_by_peer)

    def seen_digest(self, peer: str, digest: bytes) -> None:
        """Compares the digest that came with a ping or an answer to one."""
        if digest == self._store.digest:
            self._differing.pop(peer, None)
        elif self.loaded:
            self._differing[peer] = digest
            if not self._check_scheduled:
                self._check_scheduled = True
                asyncio.get_running_loop().call_later(
                    _DIFFERENCE_S, self._check_differing
                )

    def anti_entropy(self) -> None:
        """Sends the digest to a random peer."""
        self._turn += 1
        own_domain = self._kernel.settings.failure_domain
        domains = [name for name in self._view.domains() if name != own_domain]
        foreign = domains and self._turn % _FOREIGN_DIGEST_TURNS == 0
        domain = self._kernel.rng.choice(domains) if foreign else own_domain
        others = self._others(domain)
        if others:
            self._send_question(self._kernel.rng.choice(others))

    def spread(self, subtrees: list[messages.ConfigSubtree]) -> None:
        """Pushes what this instance has read from the service."""
        self._spread_own(subtrees)
        own_domain = self._kernel.settings.failure_domain
        for domain in self._view.domains():
            if domain == own_domain:
                continue
            others = self._others(domain)
            count = min(len(others), _FOREIGN_RECEIVERS)
            for peer in self._kernel.rng.sample(others, count):
                self._send_subtrees(peer, subtrees, ())

    @property
    def _view(self) -> view_lib.View:
        return self._kernel.plugin("membership").view

    def _others(self, failure_domain: str) -> list[str]:
        own = self._kernel.settings.instance_id
        return [name for name in self._view.live(failure_domain) if name != own]

    def _send(self, to: str, message: messages.Message) -> None:
        self._kernel.plugin("peers").send(to, message)

    def _send_question(self, peer: str) -> None:
        self._send(
            peer,
            messages.ConfigDigest(
                self._round, self._store.digest, self.loaded, False, {}
            ),
        )

    def _spread_own(self, subtrees: list[messages.ConfigSubtree]) -> None:
        for subtree in subtrees:
            self._foreign_news.pop(subtree.subtree, None)
        receivers = self._others(self._kernel.settings.failure_domain)
        groups = spread.relay_groups(receivers, self._kernel.rng)
        for peer, relay_to in groups:
            self._send_subtrees(peer, subtrees, relay_to)

    def _send_subtrees(
        self,
        peer: str,
        subtrees: Iterable[messages.ConfigSubtree],
        relay_to: tuple[str, ...],
    ) -> None:
        for chunk in self._chunks(subtrees):
            self._kernel.metrics.count("config_subtrees_sent", len(chunk))
            self._send(peer, messages.ConfigSubtrees(chunk, relay_to))

    def _chunks(
        self, subtrees: Iterable[messages.ConfigSubtree]
    ) -> Iterator[tuple[messages.ConfigSubtree, ...]]:
        """Divides subtrees so that no frame exceeds the limit by much."""
        chunk: list[messages.ConfigSubtree] = []
        size = 0
        for subtree in subtrees:
            chunk.append(subtree)
            size += self._store.size_of(subtree.subtree)
            if size >= _MAX_CHUNK_BYTES:
                yield tuple(chunk)
                chunk, size = [], 0
        if chunk:
            yield tuple(chunk)

    def _heard(self, sender: peers_lib.Sender) -> None:
        membership = self._kernel.plugin("membership")
        membership.heard(sender.instance, sender.incarnation)

    def _on_digest(
        self, sender: peers_lib.Sender, message: messages.ConfigDigest
    ) -> None:
        self._heard(sender)
        equal = message.digest == self._store.digest
        if not message.full:
            # The versions are left out where the digest says it all.
            self._send(
                sender.instance,
                messages.ConfigDigest(
                    message.round,
                    self._store.digest,
                    self.loaded,
                    True,
                    {} if equal else self._store.versions_by_subtree,
                ),
            )
            return
        self._take_answer(sender.instance, message, equal)

    def _take_answer(
        self, peer: str, message: messages.ConfigDigest, equal: bool
    ) -> None:
        # An answer to an earlier question may be from before a pause.
        current = message.round == self._round
        if current:
            self.answered.add(peer)
        if not message.loaded:
            return
        wanted = () if equal else self._compare(peer, message)
        # What was asked for and is still wanted cannot be accepted here.
        if not wanted or wanted == self._wanted_by_peer.get(peer):
            self._wanted_by_peer.pop(peer, None)
            self._missing_by_peer.pop(peer, None)
            if current:
                self.caught_up.add(peer)
            return
        self._wanted_by_peer[peer] = wanted
        self._missing_by_peer[peer] = set(wanted)

    def _compare(
        self, peer: str, message: messages.ConfigDigest
    ) -> tuple[str, ...]:
        """Requests what the peer has newer and sends what it has older.

        Returns:
            Names of the requested subtrees.
        """
        theirs = message.versions_by_subtree
        wanted = tuple(
            name
            for name, version in theirs.items()
            if tuple(version) > self._store.version_of(name)
        )
        newer_here = [
            name
            for name, version in self._store.versions_by_subtree.items()
            if version > tuple(theirs.get(name, (0, 0)))
        ]
        if wanted:
            self._send(peer, messages.ConfigRequest(wanted))
        if newer_here:
            self._send_subtrees(peer, self._store.subtrees(newer_here), ())
        self._kernel.metrics.count("config_exchanges")
        return wanted

    def _on_request(
        self, sender: peers_lib.Sender, message: messages.ConfigRequest
    ) -> None:
        self._heard(sender)
        subtrees = self._store.subtrees(message.subtrees)
        self._send_subtrees(sender.instance, subtrees, ())

    def _on_subtrees(
        self, sender: peers_lib.Sender, message: messages.ConfigSubtrees
    ) -> None:
        self._heard(sender)
        accepted = self._store.offer(message.subtrees)
        self._relay(message)
        own_domain = self._kernel.settings.failure_domain
        if self._view.domain_of(sender.instance) == own_domain:
            for subtree in message.subtrees:
                news = self._foreign_news.get(subtree.subtree)
                if news is not None and news <= subtree.revision:
                    del self._foreign_news[subtree.subtree]
        elif accepted:
            self._hold_foreign_news(accepted)
        missing = self._missing_by_peer.get(sender.instance)
        if missing:
            missing.difference_update(item.subtree for item in message.subtrees)
            if not missing:
                self._send_question(sender.instance)

    def _relay(self, message: messages.ConfigSubtrees) -> None:
        """Passes on what this instance has accepted, too."""
        if not message.relay_to:
            return
        valid = [
            subtree
            for subtree in message.subtrees
            if self._store.version_of(subtree.subtree)[0] >= subtree.revision
        ]
        for receiver in message.relay_to:
            self._send_subtrees(receiver, valid, ())

    def _hold_foreign_news(
        self, accepted: list[messages.ConfigSubtree]
    ) -> None:
        for subtree in accepted:
            self._foreign_news[subtree.subtree] = subtree.revision
        delay_s = self._kernel.rng.uniform(
            _FOREIGN_NEWS_MIN_S, _FOREIGN_NEWS_MAX_S
        )
        names = [subtree.subtree for subtree in accepted]
        asyncio.get_running_loop().call_later(
            delay_s, self._spread_foreign_news, names
        )

    def _spread_foreign_news(self, names: list[str]) -> None:
        waiting = [name for name in names if name in self._foreign_news]
        if waiting:
            self._spread_own(self._store.subtrees(waiting))

    def _check_differing(self) -> None:
        """Starts an exchange with one peer whose state still differs."""
        self._check_scheduled = False
        digest = self._store.digest
        candidates = [
            peer
            for peer, other in self._differing.items()
            if other != digest and self._may_exchange(digest, other)
        ]
        if candidates:
            peer = self._kernel.rng.choice(candidates)
            self._count_exchange(digest, self._differing[peer])
            self._send_question(peer)
        self._differing.clear()

    def _may_exchange(self, own: bytes, other: bytes) -> bool:
        since_s, count = self._exchanges_by_pair.get((own, other), (0.0, 0))
        return (
            count < _SAME_PAIR_EXCHANGES
            or self._kernel.clock.now() - since_s > _SAME_PAIR_S
        )

    def _count_exchange(self, own: bytes, other: bytes) -> None:
        now_s = self._kernel.clock.now()
        self._exchanges_by_pair = {
            pair: entry
            for pair, entry in self._exchanges_by_pair.items()
            if now_s - entry[0] <= _SAME_PAIR_S
        }
        since_s, count = self._exchanges_by_pair.get((own, other), (now_s, 0))
        self._exchanges_by_pair[own, other] = (since_s, count + 1)
