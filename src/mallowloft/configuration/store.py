"""Stores the accepted configuration of one instance.

The accepted revision of a subtree never decreases.
"""

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

_log = logs.get_logger("configuration")

Listener = Callable[[model.Snapshot], None]
# Revision and content hash of a subtree. An instance requests a subtree from a
# peer that has a greater version; `merge` then decides for each document.
Version = tuple[int, int]

_UNKNOWN_VERSION: Version = (0, 0)
_DIGEST_BYTES = 16
_FIELD_BY_KIND = {
    "services": "services_by_name",
    "indexes": "indexes_by_name",
    "groups": "groups_by_name",
    "teams": "teams_by_name",
}
# The encoding is deterministic so that all instances compute the same hashes.
_encoder = msgspec.msgpack.Encoder(order="deterministic")


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Revision of a rejected subtree content and the reasons."""

    revision: int
    findings: findings_lib.Findings


@dataclasses.dataclass(frozen=True, slots=True)
class _Accepted:
    """One accepted subtree."""

    subtree: messages.ConfigSubtree
    documents: acceptance.AcceptedDocuments
    version: Version
    size: int

    @property
    def digest(self) -> int:
        """128-bit hash of name and version."""
        text = f"{self.subtree.subtree}\0{self.version}"
        return xxhash.xxh3_128_intdigest(text.encode())


def _content_hash(value: Any) -> int:
    return xxhash.xxh3_64_intdigest(_encoder.encode(value))


def _replaces(
    existing: messages.Document | None, offered: messages.Document
) -> bool:
    """Whether an offered document replaces the existing one.

    If the platform's configuration service is restored from a backup, it
    assigns revisions a second time. The content hash then decides, so that all
    instances agree.
    """
    if existing is None or offered.revision != existing.revision:
        return existing is None or offered.revision > existing.revision
    existing_hash = _content_hash(existing.value)
    offered_hash = _content_hash(offered.value)
    if offered_hash != existing_hash:
        _log.warning(
            "configuration_revision_reused",
            path=existing.path,
            revision=existing.revision,
        )
    return offered_hash > existing_hash


def _snapshot_field_of(path: str) -> tuple[str, str] | None:
    """Returns the snapshot field and key of a document, None if it has none."""
    parts = path.split("/")
    if path == "/operator/fleet":
        return "fleet", ""
    if parts[1] == "operator":
        return _FIELD_BY_KIND[parts[2]], parts[3]
    if parts[3:] == ["query"]:
        return "queries_by_team", parts[2]
    return None


def _collect_replicas(
    services_by_name: Mapping[str, model.Service],
) -> dict[str, model.Replica]:
    """Returns all replicas by id.

    If services repeat an id, the first service by name takes precedence.
    """
    replicas_by_id: dict[str, model.Replica] = {}
    for name in sorted(services_by_name):
        for replica in services_by_name[name].replicas:
            replicas_by_id.setdefault(replica.id, replica)
    return replicas_by_id


def _update_replicas(
    replicas_by_id: Mapping[str, model.Replica],
    before: Mapping[str, model.Service],
    after: Mapping[str, model.Service],
    changed: Iterable[str],
) -> dict[str, model.Replica]:
    """Returns the replicas after some services changed."""
    if sum(len(item.replicas) for item in before.values()) != len(
        replicas_by_id
    ):
        # Ids repeat, so removing a replica may expose the replica of another
        # service.
        return _collect_replicas(after)
    updated = dict(replicas_by_id)
    for name in changed:
        for replica in before[name].replicas if name in before else ():
            del updated[replica.id]
    for name in changed:
        for replica in after[name].replicas if name in after else ():
            if replica.id in updated:
                return _collect_replicas(after)
            updated[replica.id] = replica
    return updated


def _update_snapshot(
    snapshot: model.Snapshot,
    revision: int,
    before: acceptance.AcceptedDocuments,
    after: acceptance.AcceptedDocuments,
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
        location = _snapshot_field_of(path)
        if location is None:
            continue
        field, key = location
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
        fields["replicas_by_id"] = _update_replicas(
            snapshot.replicas_by_id,
            snapshot.services_by_name,
            fields["services_by_name"],
            services,
        )
    return dataclasses.replace(snapshot, **fields)


def _merge_documents(
    parts: Iterable[acceptance.AcceptedDocuments],
) -> acceptance.AcceptedDocuments:
    return {path: item for part in parts for path, item in part.items()}


class Store:
    """The accepted subtrees and the snapshot built from them.

    Rejected documents are kept as well. A later change to another document may
    make the subtree valid, and the watch does not send the earlier documents
    again.

    Attributes:
        current: Snapshot of all accepted subtrees.
        rejections_by_subtree: Rejections of subtrees whose newest content is
            invalid.
    """

    def __init__(self) -> None:
        self.current = model.Snapshot()
        self.rejections_by_subtree: dict[str, Rejection] = {}
        self._offered_by_subtree: dict[str, dict[str, messages.Document]] = {}
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
        return accepted.version if accepted is not None else _UNKNOWN_VERSION

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

    def merge(
        self, subtrees: Iterable[messages.ConfigSubtree]
    ) -> list[messages.ConfigSubtree]:
        """Merges documents and accepts subtrees that are valid and newer.

        The content of a subtree consists of the document with the highest
        revision ever offered for each path; for equal revisions, the higher
        content hash decides. Deletions are documents as well, so partial and
        whole contents can be merged in any order.

        Args:
            subtrees: Whole or partial contents of subtrees.

        Returns:
            The accepted subtrees, each with its whole content.
        """
        before_by_subtree: dict[str, acceptance.AcceptedDocuments] = {}
        entries_by_subtree: dict[str, _Accepted] = {}
        for offered in subtrees:
            if not self._store_newer(offered):
                continue
            existing = self._accepted_by_subtree.get(offered.subtree)
            entry = self._accept(offered.subtree)
            if entry is not None:
                before_by_subtree.setdefault(
                    offered.subtree,
                    existing.documents if existing is not None else {},
                )
                entries_by_subtree[offered.subtree] = entry
        accepted = [entry.subtree for entry in entries_by_subtree.values()]
        if accepted:
            revision = max(item.revision for item in accepted)
            self.current = _update_snapshot(
                self.current,
                max(revision, self.current.revision),
                _merge_documents(before_by_subtree.values()),
                _merge_documents(
                    item.documents for item in entries_by_subtree.values()
                ),
            )
            self._notify()
        return accepted

    def _notify(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.current)
            except Exception:  # noqa: BLE001
                _log.exception("configuration_listener_failed")

    def _store_newer(self, offered: messages.ConfigSubtree) -> bool:
        """Stores newer documents; returns whether there are any."""
        known = self._offered_by_subtree.get(offered.subtree, {})
        newer = {
            document.path: document
            for document in offered.documents
            if acceptance.subtree_of(document.path) == offered.subtree
            and _replaces(known.get(document.path), document)
        }
        if newer:
            self._offered_by_subtree[offered.subtree] = {**known, **newer}
        return bool(newer)

    def _accept(self, name: str) -> _Accepted | None:
        known = self._offered_by_subtree[name]
        documents = tuple(known[path] for path in sorted(known))
        revision = max(document.revision for document in documents)
        checked = acceptance.accept(documents)
        if checked.is_err():
            findings = checked.unwrap_err()
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
        entry = _Accepted(
            messages.ConfigSubtree(name, revision, documents),
            checked.unwrap(),
            (revision, xxhash.xxh3_64_intdigest(encoded)),
            len(encoded),
        )
        existing = self._accepted_by_subtree.get(name)
        if existing is not None:
            self._digest ^= existing.digest
        self._digest ^= entry.digest
        self._accepted_by_subtree[name] = entry
        return entry
