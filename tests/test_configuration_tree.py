"""Tests the validation of a whole tree before it is published."""

import copy

import pytest

from mallowloft.configuration import tree


def _replica(name: str) -> dict:
    return {"id": name, "url": f"http://{name}:80", "failure_domain": "d1"}


_VALID = {
    "/operator/fleet": {"classes": ["paying", "background"]},
    "/operator/services/a": {
        "index": "main",
        "replicas": [_replica("a1"), _replica("a2")],
    },
    "/operator/services/b": {"index": "main", "replicas": [_replica("b1")]},
    "/operator/services/other": {
        "index": "second",
        "replicas": [_replica("o1")],
    },
    "/operator/indexes/main": {
        "versions": [
            {
                "version": 1,
                "shards": {"a": {"s1": ["a1", "a2"]}, "b": {"s2": ["b1"]}},
            }
        ]
    },
    "/operator/indexes/second": {
        "versions": [{"version": 1, "shards": {"other": {"s1": ["o1"]}}}]
    },
    "/operator/groups/all": {"services": ["a", "b"]},
    "/operator/teams/hunters": {
        "credential_sha256": "0" * 64,
        "priority": "paying",
        "targets": ["all", "a"],
    },
    "/operator/teams/shop": {
        "credential_sha256": "1" * 64,
        "priority": "background",
    },
    "/teams/hunters/query": {"min_coverage": 0.5},
}

# Path of the changed document, keys to the changed value and new value; part of
# the expected message; place of the finding if it differs from the value's.
_FAULTS = [
    (("/operator/services/a", "index", "gone"), "'gone' does not exist"),
    (("/operator/services/b", "replicas", 0, "id", "a1"), "is also at"),
    (("/operator/services/a", "replicas", 1, "id", "a1"), "is also at"),
    (("/operator/services/a", "replicas", 1, "slots", 0), "greater than"),
    (
        ("/operator/indexes/main", "versions", 0, "shards", "a", "s1", 1, "z"),
        "no replica 'z'",
    ),
    (
        ("/operator/indexes/main", "versions", 0, "shards", "a", "s1", []),
        "no replica",
    ),
    (
        ("/operator/indexes/main", "versions", 0, "shards", "z", {}),
        "does not exist",
    ),
    (
        ("/operator/indexes/main", "versions", 0, "shards", "other", {}),
        "'second'",
    ),
    (("/operator/groups/all", "services", 1, "z"), "does not exist"),
    (
        ("/operator/groups/all", "services", 1, "other"),
        "main, second",
        "/operator/groups/all.services",
    ),
    (("/operator/groups/all", "services", 1, "a"), "repeated"),
    (("/operator/groups/a", {"services": ["b"]}), "also named"),
    (("/operator/teams/shop", "priority", "gold"), "'gold' does not exist"),
    (("/operator/teams/hunters", "targets", 1, "z"), "'z'"),
    (
        ("/operator/teams/shop", "credential_sha256", "0" * 64),
        "same credential",
    ),
    (("/operator/fleet", "classes", 1, "paying"), "repeated"),
    (("/teams/nobody/query", {}), "grants no team"),
    (("/operator/unknown/x", {}), "no document is expected"),
]


class TestCheckTree:
    """Each kind of fault is reported with its place."""

    def test_valid_tree(self):
        assert tree.check_tree(_VALID).ok

    @pytest.mark.parametrize("fault", _FAULTS)
    def test_fault_is_reported_with_its_place(self, fault):
        values = copy.deepcopy(_VALID)
        change, message, *other_place = fault
        *keys, last, value = change
        (place,) = other_place or [".".join(map(str, change[:-1]))]
        target = values
        for key in keys:
            target = target[key]
        target[last] = value
        findings = list(tree.check_tree(values))
        matching = [item for item in findings if item.place == place]
        assert any(message in item.message for item in matching), findings

    def test_all_faults_are_reported_together(self):
        values = copy.deepcopy(_VALID)
        values["/operator/teams/shop"]["priority"] = "gold"
        values["/operator/services/a"]["index"] = "gone"
        values["/teams/hunters/query"]["prefer"] = "luck"
        places = {item.place for item in tree.check_tree(values)}
        assert {
            "/operator/teams/shop.priority",
            "/operator/services/a.index",
            "/teams/hunters/query.prefer",
        } <= places

    def test_references_to_an_invalid_document_are_not_reported(self):
        """Guards against reporting one fault again for each reference."""
        values = copy.deepcopy(_VALID)
        values["/operator/services/b"]["protocol"] = ""
        places = [item.place for item in tree.check_tree(values)]
        assert places == ["/operator/services/b.protocol"]

    def test_deletions_are_ignored(self):
        values = copy.deepcopy(_VALID)
        values["/teams/hunters/query"] = None
        assert tree.check_tree(values).ok
        values["/operator/services/b"] = None
        assert not tree.check_tree(values).ok
