"""Validates a whole configuration tree before it is published.

Instances accept each subtree separately, so that an error in one does not
affect the others. References between documents are therefore checked here,
before an operator publishes them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from mallowloft.configuration import acceptance
from mallowloft.configuration import model
from mallowloft.kernel import findings as findings_lib

_FLEET = "/operator/fleet"
_ANY_TARGET = "*"


class _Tree:
    """The valid documents by path, and the names of all documents by kind."""

    def __init__(self, values_by_path: Mapping[str, Any]) -> None:
        self.findings = findings_lib.Findings()
        self.documents_by_path: dict[str, Any] = {}
        self._names_by_kind: dict[str, set[str]] = {}
        for path, value in values_by_path.items():
            if value is None:
                continue
            parts = path.split("/")
            if len(parts) == 4 and parts[1] == "operator":
                self._names_by_kind.setdefault(parts[2], set()).add(parts[3])
            document = acceptance.check_value(path, value, self.findings)
            if document is not None:
                self.documents_by_path[path] = document

    def names(self, kind: str) -> set[str]:
        """Returns the names of all documents of a kind, valid or not."""
        return self._names_by_kind.get(kind, set())

    def of_kind(self, kind: str) -> dict[str, Any]:
        """Returns the valid documents of a kind by name."""
        prefix = f"/operator/{kind}/"
        return {
            path.removeprefix(prefix): document
            for path, document in self.documents_by_path.items()
            if path.startswith(prefix)
        }

    @property
    def fleet(self) -> model.Fleet:
        """The fleet document, or the default if there is no valid one."""
        return self.documents_by_path.get(_FLEET, model.Fleet())


def _check_duplicates(
    findings: findings_lib.Findings, place: str, names: Iterable[Any], kind: str
) -> None:
    """Reports each name that a list repeats."""
    seen = set()
    for position, name in enumerate(names):
        if name in seen:
            findings.add(f"{place}.{position}", f"{kind} {name!r} is repeated")
        seen.add(name)


def _check_fleet(tree: _Tree) -> None:
    _check_duplicates(
        tree.findings, f"{_FLEET}.classes", tree.fleet.classes, "class"
    )


def _check_services(tree: _Tree) -> None:
    place_by_replica: dict[str, str] = {}
    for name, service in tree.of_kind("services").items():
        path = f"/operator/services/{name}"
        if service.index not in tree.names("indexes"):
            tree.findings.add(
                f"{path}.index", f"index {service.index!r} does not exist"
            )
        for position, replica in enumerate(service.replicas):
            place = f"{path}.replicas.{position}.id"
            first_place = place_by_replica.setdefault(replica.id, place)
            if first_place != place:
                tree.findings.add(
                    place, f"replica {replica.id!r} is also at {first_place}"
                )


def _check_indexes(tree: _Tree) -> None:
    services = tree.of_kind("services")
    for name, index in tree.of_kind("indexes").items():
        path = f"/operator/indexes/{name}.versions"
        version_numbers = [item.version for item in index.versions]
        _check_duplicates(tree.findings, path, version_numbers, "version")
        for position, version in enumerate(index.versions):
            for service, shards in version.shards.items():
                place = f"{path}.{position}.shards.{service}"
                if service not in tree.names("services"):
                    tree.findings.add(
                        place, f"service {service!r} does not exist"
                    )
                elif service in services:
                    _check_shards(tree, place, name, services[service], shards)


def _check_shards(
    tree: _Tree,
    place: str,
    index: str,
    service: model.Service,
    shards: Mapping[str, tuple[str, ...]],
) -> None:
    if service.index != index:
        tree.findings.add(
            place, f"the service belongs to index {service.index!r}"
        )
    known_replicas = {replica.id for replica in service.replicas}
    for shard, replicas in shards.items():
        shard_place = f"{place}.{shard}"
        if not replicas:
            tree.findings.add(shard_place, "the shard has no replica")
        _check_duplicates(tree.findings, shard_place, replicas, "replica")
        for position, replica in enumerate(replicas):
            if replica not in known_replicas:
                tree.findings.add(
                    f"{shard_place}.{position}",
                    f"the service has no replica {replica!r}",
                )


def _check_groups(tree: _Tree) -> None:
    services = tree.of_kind("services")
    for name, group in tree.of_kind("groups").items():
        path = f"/operator/groups/{name}"
        if name in tree.names("services"):
            tree.findings.add(path, f"a service is also named {name!r}")
        _check_duplicates(
            tree.findings, f"{path}.services", group.services, "service"
        )
        indexes = set()
        for position, service in enumerate(group.services):
            if service not in tree.names("services"):
                tree.findings.add(
                    f"{path}.services.{position}",
                    f"service {service!r} does not exist",
                )
            elif service in services:
                indexes.add(services[service].index)
        if len(indexes) > 1:
            index_names = ", ".join(sorted(indexes))
            tree.findings.add(
                f"{path}.services", f"the group spans the indexes {index_names}"
            )


def _check_teams(tree: _Tree) -> None:
    targets = tree.names("services") | tree.names("groups") | {_ANY_TARGET}
    place_by_credential: dict[str, str] = {}
    for name, team in tree.of_kind("teams").items():
        path = f"/operator/teams/{name}"
        if team.priority not in tree.fleet.classes:
            tree.findings.add(
                f"{path}.priority", f"class {team.priority!r} does not exist"
            )
        for position, target in enumerate(team.targets):
            if target not in targets:
                tree.findings.add(
                    f"{path}.targets.{position}",
                    f"no service or group is named {target!r}",
                )
        place = f"{path}.credential_sha256"
        first_place = place_by_credential.setdefault(
            team.credential_sha256, place
        )
        if first_place != place:
            tree.findings.add(place, f"the same credential is at {first_place}")
    for path in tree.documents_by_path:
        parts = path.split("/")
        if parts[1] == "teams" and parts[2] not in tree.names("teams"):
            tree.findings.add(path, f"the operator grants no team {parts[2]!r}")


def check_tree(values_by_path: Mapping[str, Any]) -> findings_lib.Findings:
    """Validates a whole tree, including references between documents.

    Args:
        values_by_path: Values by path; None marks a deletion and is ignored.

    Returns:
        All errors. The place of an error consists of the path of the document
        and the position within the document, separated by dots.
    """
    tree = _Tree(values_by_path)
    _check_fleet(tree)
    _check_services(tree)
    _check_indexes(tree)
    _check_groups(tree)
    _check_teams(tree)
    return tree.findings
