"""Accepted configuration of one instance; revisions only rise."""

from collections.abc import Callable
from collections.abc import Iterable

from mallowloft import messages
from mallowloft.configuration import acceptance
from mallowloft.configuration import model
from mallowloft.kernel import logs

_log = logs.get("configuration")

Listener = Callable[[model.Snapshot], None]


def _snapshot(
    subtrees: Iterable[tuple[int, acceptance.Documents]],
) -> model.Snapshot:
    """Builds the snapshot of accepted documents."""
    revision = 0
    fleet = model.Fleet()
    by_kind: dict[str, dict] = {
        "services": {},
        "indexes": {},
        "groups": {},
        "teams": {},
    }
    queries_by_team = {}
    for subtree_revision, documents in subtrees:
        revision = max(revision, subtree_revision)
        for path, document in documents.items():
            parts = path.split("/")
            if path == "/operator/fleet":
                fleet = document
            elif parts[1] == "operator":
                by_kind[parts[2]][parts[3]] = document
            else:
                queries_by_team[parts[2]] = document
    replicas_by_id = {}
    for service in by_kind["services"].values():
        for replica in service.replicas:
            replicas_by_id.setdefault(replica.id, replica)
    return model.Snapshot(
        revision=revision,
        fleet=fleet,
        services_by_name=by_kind["services"],
        indexes_by_name=by_kind["indexes"],
        groups_by_name=by_kind["groups"],
        teams_by_name=by_kind["teams"],
        queries_by_team=queries_by_team,
        replicas_by_id=replicas_by_id,
    )


class Store:
    """The accepted subtrees and the snapshot made of them."""

    def __init__(self) -> None:
        self.current = model.Snapshot()
        self._accepted_by_subtree: dict[str, messages.ConfigSubtree] = {}
        self._documents_by_subtree: dict[str, acceptance.Documents] = {}
        self._listeners: list[Listener] = []

    @property
    def digest(self) -> bytes:
        """Hash of all accepted subtrees, 16 bytes."""
        return bytes(16)

    @property
    def revision_by_subtree(self) -> dict[str, int]:
        """Accepted revision of each subtree."""
        return {
            name: subtree.revision
            for name, subtree in self._accepted_by_subtree.items()
        }

    def subscribe(self, listener: Listener) -> None:
        """Adds a listener that is called with each new snapshot."""
        self._listeners.append(listener)

    def subtrees(self, names: Iterable[str]) -> list[messages.ConfigSubtree]:
        """Returns the accepted content of subtrees that are known."""
        return [
            self._accepted_by_subtree[name]
            for name in names
            if name in self._accepted_by_subtree
        ]

    def offer(
        self, subtrees: Iterable[messages.ConfigSubtree]
    ) -> list[messages.ConfigSubtree]:
        """Accepts what is valid and newer than what is held.

        Returns:
            The subtrees that were accepted.
        """
        accepted = [item for item in subtrees if self._accept(item)]
        if accepted:
            self.current = _snapshot(
                (item.revision, self._documents_by_subtree[name])
                for name, item in self._accepted_by_subtree.items()
            )
            for listener in self._listeners:
                listener(self.current)
        return accepted

    def _accept(self, subtree: messages.ConfigSubtree) -> bool:
        held = self._accepted_by_subtree.get(subtree.subtree)
        if held is not None and held.revision >= subtree.revision:
            return False
        verdict = acceptance.accept(subtree.documents)
        if verdict.is_err():
            _log.warning(
                "configuration_rejected",
                subtree=subtree.subtree,
                revision=subtree.revision,
                findings=str(verdict.unwrap_err()),
            )
            return False
        self._accepted_by_subtree[subtree.subtree] = subtree
        self._documents_by_subtree[subtree.subtree] = verdict.unwrap()
        return True
