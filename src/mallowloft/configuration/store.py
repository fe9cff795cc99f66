"""Accepted configuration of one instance; revisions only rise."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import msgspec
import xxhash

from mallowloft import messages
from mallowloft.configuration import acceptance
from mallowloft.configuration import model
from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import logs

_log = logs.get("configuration")

Listener = Callable[[model.Snapshot], None]
# Revision and content hash of a subtree; the greater one is in force.
Version = tuple[int, int]

_UNKNOWN: Version = (0, 0)
_DIGEST_BYTES = 16
_FIELD_BY_KIND = {
    "services": "services_by_name",
    "indexes": "indexes_by_name",
    "groups": "groups_by_name",
    "teams": "teams_by_name",
}
# Two instances must hash equal content to the same value.
_encoder = msgspec.msgpack.Encoder(order="deterministic")


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A subtree's content that was not accepted."""

    revision: int
    findings: findings_lib.Findings


@dataclasses.dataclass(frozen=True, slots=True)
class _Accepted:
    """One accepted subtree."""

    subtree: messages.ConfigSubtree
    documents: acceptance.Documents
    version: Version
    size: int

    @property
    def digest(self) -> int:
        """128-bit hash of name and version."""
        text = f"{self.subtree.subtree}\0{self.version}"
        return xxhash.xxh3_128_intdigest(text.encode())


def _content_hash(value: Any) -> int:
    return xxhash.xxh3_64_intdigest(_encoder.encode(value))


def _newer(held: messages.Document | None, offered: messages.Document) -> bool:
    """Whether an offered document replaces the held one.

    A service restored from a backup gives out revisions a second time. The
    content hash then decides, so that all instances agree.
    """
    if held is None or offered.revision != held.revision:
        return held is None or offered.revision > held.revision
    held_hash = _content_hash(held.value)
    offered_hash = _content_hash(offered.value)
    if offered_hash != held_hash:
        _log.warning(
            "configuration_revision_reused",
            path=held.path,
            revision=held.revision,
        )
    return offered_hash > held_hash


def _field_of(path: str) -> tuple[str, str] | None:
    """Returns the snapshot's field and key of a document, None without one."""
    parts = path.split("/")
    if path == "/operator/fleet":
        return "fleet", ""
    if parts[1] == "operator":
        return _FIELD_BY_KIND[parts[2]], parts[3]
    if parts[3:] == ["query"]:
        return "queries_by_team", parts[2]
    return None


def _replicas(
    services_by_name: Mapping[str, model.Service],
) -> dict[str, model.Replica]:
    """Returns all replicas; of equal ids the first service by name wins."""
    replicas_by_id: dict[str, model.Replica] = {}
    for name in sorted(services_by_name):
        for replica in services_by_name[name].replicas:
            replicas_by_id.setdefault(replica.id, replica)
    return replicas_by_id


def _with_services(
    replicas_by_id: Mapping[str, model.Replica],
    before: Mapping[str, model.Service],
    after: Mapping[str, model.Service],
    changed: Iterable[str],
) -> dict[str, model.Replica]:
    """Returns the replicas after some services changed."""
    if sum(len(item.replicas) for item in before.values()) != len(
        replicas_by_id
    ):
        # Ids repeat: a removed replica may uncover that of another service.
        return _replicas(after)
    updated = dict(replicas_by_id)
    for name in changed:
        for replica in before[name].replicas if name in before else ():
            del updated[replica.id]
    for name in changed:
        for replica in after[name].replicas if name in after else ():
            if replica.id in updated:
                return _replicas(after)
            updated[replica.id] = replica
    return updated


def _changed_snapshot(
    snapshot: model.Snapshot,
    revision: int,
    before: acceptance.Documents,
    after: acceptance.Documents,
) -> model.Snapshot:
    """Returns a snapshot in which some documents are replaced.

    Args:
        snapshot: The previous snapshot.
        revision: Highest accepted revision.
        before: Previous documents of the changed subtrees.
        after: New documents of the changed subtrees.
    """
    fields: dict[str, Any] = {"revision": revision}
    services = set()
    for path in before.keys() | after.keys():
        found = _field_of(path)
        if found is None:
            continue
        field, key = found
        if field == "fleet":
            fields[field] = after.get(path, model.Fleet())
            continue
        documents = fields.setdefault(field, dict(getattr(snapshot, field)))
        documents.pop(key, None)
        if path in after:
            documents[key] = after[path]
        if field == "services_by_name":
            services.add(key)
    if services:
        fields["replicas_by_id"] = _with_services(
            snapshot.replicas_by_id,
            snapshot.services_by_name,
            fields["services_by_name"],
            services,
        )
    return dataclasses.replace(snapshot, **fields)


def _joined(parts: Iterable[acceptance.Documents]) -> acceptance.Documents:
    return {path: item for part in parts for path, item in part.items()}


class Store:
    """The accepted subtrees and the snapshot made of them.

    Documents that are not part of an accepted subtree are kept as well: a
    watch reports only what changed, and the change that repairs a rejected
    subtree may concern another document of it.

    Attributes:
        current: Snapshot of everything accepted.
        rejections_by_subtree: Subtrees whose newest content is not accepted.
    """

    def __init__(self) -> None:
        self.current = model.Snapshot()
        self.rejections_by_subtree: dict[str, Rejection] = {}
        self._known_by_subtree: dict[str, dict[str, messages.Document]] = {}
        self._accepted_by_subtree: dict[str, _Accepted] = {}
        self._digest = 0
        self._listeners: list[Listener] = []

    @property
    def digest(self) -> bytes:
        """Hash of all accepted subtrees, 16 bytes."""
        return self._digest.to_bytes(_DIGEST_BYTES, "big")

    @property
    def revision_by_subtree(self) -> dict[str, int]:
        """Accepted revision of each subtree."""
        return {
            name: accepted.subtree.revision
            for name, accepted in self._accepted_by_subtree.items()
        }

    @property
    def versions_by_subtree(self) -> dict[str, Version]:
        """Accepted version of each subtree."""
        return {
            name: accepted.version
            for name, accepted in self._accepted_by_subtree.items()
        }

    def version_of(self, subtree: str) -> Version:
        """Returns the accepted version of a subtree, (0, 0) if unknown."""
        accepted = self._accepted_by_subtree.get(subtree)
        return accepted.version if accepted is not None else _UNKNOWN

    def size_of(self, subtree: str) -> int:
        """Returns the encoded size of an accepted subtree in bytes."""
        accepted = self._accepted_by_subtree.get(subtree)
        return accepted.size if accepted is not None else 0

    def subscribe(self, listener: Listener) -> None:
        """Adds a listener that is called with each new snapshot."""
        self._listeners.append(listener)

    def subtrees(self, names: Iterable[str]) -> list[messages.ConfigSubtree]:
        """Returns the accepted content of subtrees that are known."""
        return [
            self._accepted_by_subtree[name].subtree
            for name in names
            if name in self._accepted_by_subtree
        ]

    def offer(
        self, subtrees: Iterable[messages.ConfigSubtree]
    ) -> list[messages.ConfigSubtree]:
        """Merges documents and accepts what is valid and newer.

        The content of a subtree is, for each path, the document of the
        highest revision ever offered. Deletions are documents, hence partial
        results and whole ones merge alike and in any order.

        Args:
            subtrees: Whole or partial contents.

        Returns:
            The subtrees that were accepted, each with its whole content.
        """
        before_by_subtree: dict[str, acceptance.Documents] = {}
        taken_by_subtree: dict[str, _Accepted] = {}
        for offered in subtrees:
            if not self._merge(offered):
                continue
            held = self._accepted_by_subtree.get(offered.subtree)
            taken = self._accept(offered.subtree)
            if taken is not None:
                before_by_subtree.setdefault(
                    offered.subtree, held.documents if held is not None else {}
                )
                taken_by_subtree[offered.subtree] = taken
        accepted = [taken.subtree for taken in taken_by_subtree.values()]
        if accepted:
            revision = max(item.revision for item in accepted)
            self.current = _changed_snapshot(
                self.current,
                max(revision, self.current.revision),
                _joined(before_by_subtree.values()),
                _joined(item.documents for item in taken_by_subtree.values()),
            )
            self._notify()
        return accepted

    def _notify(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.current)
            except Exception:  # noqa: BLE001
                _log.exception("configuration_listener_failed")

    def _merge(self, offered: messages.ConfigSubtree) -> bool:
        """Takes newer documents; True if there are any."""
        known = self._known_by_subtree.get(offered.subtree, {})
        newer = {
            document.path: document
            for document in offered.documents
            if acceptance.subtree_of(document.path) == offered.subtree
            and _newer(known.get(document.path), document)
        }
        if newer:
            self._known_by_subtree[offered.subtree] = {**known, **newer}
        return bool(newer)

    def _accept(self, name: str) -> _Accepted | None:
        known = self._known_by_subtree[name]
        documents = tuple(known[path] for path in sorted(known))
        revision = max(document.revision for document in documents)
        verdict = acceptance.accept(documents)
        if verdict.is_err():
            findings = verdict.unwrap_err()
            self.rejections_by_subtree[name] = Rejection(revision, findings)
            _log.warning(
                "configuration_rejected",
                subtree=name,
                revision=revision,
                findings=str(findings),
            )
            return None
        self.rejections_by_subtree.pop(name, None)
        encoded = _encoder.encode(documents)
        taken = _Accepted(
            messages.ConfigSubtree(name, revision, documents),
            verdict.unwrap(),
            (revision, xxhash.xxh3_64_intdigest(encoded)),
            len(encoded),
        )
        held = self._accepted_by_subtree.get(name)
        if held is not None:
            self._digest ^= held.digest
        self._digest ^= taken.digest
        self._accepted_by_subtree[name] = taken
        return taken
