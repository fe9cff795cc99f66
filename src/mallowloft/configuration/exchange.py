"""Distribution of accepted subtrees between instances.

An update is pushed through relays. Digests, which are compared periodically and
with each ping, detect updates that were lost.
"""

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

_log = logs.get_logger("configuration")

ANTI_ENTROPY_INTERVAL_S = 1.0
# One of this many periodic digests is sent to another failure domain.
_DIGESTS_PER_REMOTE_DIGEST = 4
# Instances of each other failure domain to which a watcher pushes an update.
_RECEIVERS_PER_REMOTE_DOMAIN = 2
# Digests differ for some milliseconds while an update is distributed, so
# mismatches are checked this long after the first one was seen.
_DIGEST_MISMATCH_DELAY_S = 0.15
# An instance that accepts an update from another failure domain pushes it to
# its own domain after a random delay in this range, unless another instance of
# its own domain sends it the update first.
_MIN_REMOTE_UPDATE_DELAY_S = 0.05
_MAX_REMOTE_UPDATE_DELAY_S = 0.25
# A chunk is closed when it reaches this size, well below the frame limit.
_CHUNK_BYTES = 1 << 20
# Two instances of different software versions may never agree on a subtree, so
# exchanges for the same pair of digests are limited per window.
_SAME_PAIR_WINDOW_S = 30.0
_MAX_SAME_PAIR_EXCHANGES = 3
_OWN_DOMAIN_PEERS_ASKED = 3


class Exchange:
    """Exchanges accepted subtrees with peers.

    Attributes:
        loaded: Whether this instance has ever loaded a whole configuration.
        caught_up_with: Loaded peers with which this instance has caught up
            since the last `request_digests`.
        answered: Peers that have answered since the last `request_digests`,
            loaded or not.
    """

    def __init__(
        self, kernel: lifecycle.Kernel, store: store_lib.Store
    ) -> None:
        self._kernel = kernel
        self._store = store
        self.loaded = False
        self.caught_up_with: set[str] = set()
        self.answered: set[str] = set()
        self._round = 0
        self._requested_by_peer: dict[str, tuple[str, ...]] = {}
        self._missing_by_peer: dict[str, set[str]] = {}
        self._mismatched_digests: dict[str, bytes] = {}
        self._check_scheduled = False
        self._exchanges_by_pair: dict[
            tuple[bytes, bytes], tuple[float, int]
        ] = {}
        self._pending_remote_revisions: dict[str, int] = {}
        self._digest_count = 0

    def start(self) -> None:
        """Registers the message handlers."""
        peers = self._kernel.plugin("peers")
        peers.add_handler(messages.ConfigDigest, self._on_digest)
        peers.add_handler(messages.ConfigRequest, self._on_request)
        peers.add_handler(messages.ConfigSubtrees, self._on_subtrees)

    def request_digests(self) -> set[str]:
        """Requests the digests of peers in every failure domain.

        Returns:
            The peers to which a request was sent.
        """
        self._round += 1
        self.caught_up_with.clear()
        self.answered.clear()
        self._requested_by_peer.clear()
        self._missing_by_peer.clear()
        rng = self._kernel.rng
        # When a whole fleet starts, the readers are the first instances with a
        # configuration.
        readers = self._kernel.plugin("membership").readers()
        asked = set(readers) - {self._kernel.settings.instance_id}
        for domain in self._view.live_domains():
            others = self._others(domain)
            own = domain == self._kernel.settings.failure_domain
            count = min(len(others), _OWN_DOMAIN_PEERS_ASKED if own else 1)
            asked.update(rng.sample(others, count))
        for peer in asked:
            self._send_digest_request(peer)
        return asked

    @property
    def catching_up(self) -> bool:
        """Whether requested content of a loaded peer is still missing."""
        return bool(self._missing_by_peer)

    def compare_digest(self, peer: str, digest: bytes) -> None:
        """Compares the local digest with one received in a ping or pong."""
        if digest == self._store.digest:
            self._mismatched_digests.pop(peer, None)
        elif self.loaded:
            self._mismatched_digests[peer] = digest
            if not self._check_scheduled:
                self._check_scheduled = True
                asyncio.get_running_loop().call_later(
                    _DIGEST_MISMATCH_DELAY_S, self._check_mismatches
                )

    def send_digest_to_random_peer(self) -> None:
        """Sends the digest to a random peer for anti-entropy."""
        self._digest_count += 1
        own_domain = self._kernel.settings.failure_domain
        domains = [
            name for name in self._view.live_domains() if name != own_domain
        ]
        is_remote = (
            domains and self._digest_count % _DIGESTS_PER_REMOTE_DIGEST == 0
        )
        domain = self._kernel.rng.choice(domains) if is_remote else own_domain
        others = self._others(domain)
        if others:
            self._send_digest_request(self._kernel.rng.choice(others))

    def push(self, subtrees: list[messages.ConfigSubtree]) -> None:
        """Pushes subtrees that this instance has read from the platform."""
        self._push_to_own_domain(subtrees)
        own_domain = self._kernel.settings.failure_domain
        for domain in self._view.live_domains():
            if domain == own_domain:
                continue
            others = self._others(domain)
            count = min(len(others), _RECEIVERS_PER_REMOTE_DOMAIN)
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

    def _send_digest_request(self, peer: str) -> None:
        self._send(
            peer,
            messages.ConfigDigest(
                self._round, self._store.digest, self.loaded, False, {}
            ),
        )

    def _push_to_own_domain(
        self, subtrees: list[messages.ConfigSubtree]
    ) -> None:
        for subtree in subtrees:
            self._pending_remote_revisions.pop(subtree.subtree, None)
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
        """Splits subtrees into chunks that are closed at `_CHUNK_BYTES`."""
        chunk: list[messages.ConfigSubtree] = []
        size = 0
        for subtree in subtrees:
            chunk.append(subtree)
            size += self._store.size_of(subtree.subtree)
            if size >= _CHUNK_BYTES:
                yield tuple(chunk)
                chunk, size = [], 0
        if chunk:
            yield tuple(chunk)

    def _record_sender(self, sender: peers_lib.Sender) -> None:
        membership = self._kernel.plugin("membership")
        membership.record_message(sender.instance, sender.incarnation)

    def _on_digest(
        self, sender: peers_lib.Sender, message: messages.ConfigDigest
    ) -> None:
        self._record_sender(sender)
        equal = message.digest == self._store.digest
        if not message.full:
            # With equal digests the versions are known to be equal as well.
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
        self._process_answer(sender.instance, message, equal)

    def _process_answer(
        self, peer: str, message: messages.ConfigDigest, equal: bool
    ) -> None:
        # An answer to an earlier request may have been sent before a pause.
        current = message.round == self._round
        if current:
            self.answered.add(peer)
        if not message.loaded:
            return
        requested = () if equal else self._exchange_differences(peer, message)
        # If the next answer requires the same subtrees again, it is assumed
        # that this instance cannot accept them, and it counts as caught up with
        # the peer.
        if not requested or requested == self._requested_by_peer.get(peer):
            self._requested_by_peer.pop(peer, None)
            self._missing_by_peer.pop(peer, None)
            if current:
                self.caught_up_with.add(peer)
            return
        self._requested_by_peer[peer] = requested
        self._missing_by_peer[peer] = set(requested)

    def _exchange_differences(
        self, peer: str, message: messages.ConfigDigest
    ) -> tuple[str, ...]:
        """Requests subtrees newer at the peer and sends those newer here.

        Returns:
            Names of the requested subtrees.
        """
        peer_versions = message.versions_by_subtree
        requested = tuple(
            name
            for name, version in peer_versions.items()
            if tuple(version) > self._store.version_of(name)
        )
        newer_local = [
            name
            for name, version in self._store.versions_by_subtree.items()
            if version > tuple(peer_versions.get(name, (0, 0)))
        ]
        if requested:
            self._send(peer, messages.ConfigRequest(requested))
        if newer_local:
            self._send_subtrees(peer, self._store.subtrees(newer_local), ())
        self._kernel.metrics.count("config_exchanges")
        return requested

    def _on_request(
        self, sender: peers_lib.Sender, message: messages.ConfigRequest
    ) -> None:
        self._record_sender(sender)
        subtrees = self._store.subtrees(message.subtrees)
        self._send_subtrees(sender.instance, subtrees, ())

    def _on_subtrees(
        self, sender: peers_lib.Sender, message: messages.ConfigSubtrees
    ) -> None:
        self._record_sender(sender)
        accepted = self._store.merge(message.subtrees)
        self._relay(message)
        own_domain = self._kernel.settings.failure_domain
        if self._view.domain_of(sender.instance) == own_domain:
            for subtree in message.subtrees:
                pending_revision = self._pending_remote_revisions.get(
                    subtree.subtree
                )
                if (
                    pending_revision is not None
                    and pending_revision <= subtree.revision
                ):
                    del self._pending_remote_revisions[subtree.subtree]
        elif accepted:
            self._schedule_push_to_own_domain(accepted)
        missing = self._missing_by_peer.get(sender.instance)
        if missing:
            missing.difference_update(item.subtree for item in message.subtrees)
            if not missing:
                self._send_digest_request(sender.instance)

    def _relay(self, message: messages.ConfigSubtrees) -> None:
        """Forwards received subtrees whose stored revision is not lower.

        A subtree that was rejected here and is newer than the stored one is not
        forwarded.
        """
        if not message.relay_to:
            return
        valid = [
            subtree
            for subtree in message.subtrees
            if self._store.version_of(subtree.subtree)[0] >= subtree.revision
        ]
        for receiver in message.relay_to:
            self._send_subtrees(receiver, valid, ())

    def _schedule_push_to_own_domain(
        self, accepted: list[messages.ConfigSubtree]
    ) -> None:
        for subtree in accepted:
            self._pending_remote_revisions[subtree.subtree] = subtree.revision
        delay_s = self._kernel.rng.uniform(
            _MIN_REMOTE_UPDATE_DELAY_S, _MAX_REMOTE_UPDATE_DELAY_S
        )
        names = [subtree.subtree for subtree in accepted]
        asyncio.get_running_loop().call_later(
            delay_s, self._push_pending_to_own_domain, names
        )

    def _push_pending_to_own_domain(self, names: list[str]) -> None:
        pending = [
            name for name in names if name in self._pending_remote_revisions
        ]
        if pending:
            self._push_to_own_domain(self._store.subtrees(pending))

    def _check_mismatches(self) -> None:
        """Starts an exchange with one peer whose digest still differs."""
        self._check_scheduled = False
        digest = self._store.digest
        candidates = [
            peer
            for peer, other in self._mismatched_digests.items()
            if other != digest and self._may_exchange(digest, other)
        ]
        if candidates:
            peer = self._kernel.rng.choice(candidates)
            self._count_exchange(digest, self._mismatched_digests[peer])
            self._send_digest_request(peer)
        self._mismatched_digests.clear()

    def _may_exchange(self, own: bytes, other: bytes) -> bool:
        since_s, count = self._exchanges_by_pair.get((own, other), (0.0, 0))
        return (
            count < _MAX_SAME_PAIR_EXCHANGES
            or self._kernel.clock.now() - since_s > _SAME_PAIR_WINDOW_S
        )

    def _count_exchange(self, own: bytes, other: bytes) -> None:
        now_s = self._kernel.clock.now()
        self._exchanges_by_pair = {
            pair: entry
            for pair, entry in self._exchanges_by_pair.items()
            if now_s - entry[0] <= _SAME_PAIR_WINDOW_S
        }
        since_s, count = self._exchanges_by_pair.get((own, other), (now_s, 0))
        self._exchanges_by_pair[own, other] = (since_s, count + 1)
