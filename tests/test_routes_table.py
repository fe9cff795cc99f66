"""Matching of routes and weighted splits."""

import random

from mallowloft.routes import model
from mallowloft.routes import table as table_lib


def _route(name: str, prefix: str, host: str = "a.example", **fields):
    targets = fields.pop("targets", (model.Target(name, 1.0),))
    return model.Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        objective_s=0.1,
        max_attempts=2,
        targets=targets,
        **fields,
    )


def _matcher(*routes: model.Route, previous=None) -> table_lib.RouteMatcher:
    table = model.Table(1, routes, {})
    return table_lib.RouteMatcher(table, random.Random(1), previous)


class TestRouteMatcher:
    """The longest prefix of the host wins."""

    def test_longest_prefix(self):
        short, long = _route("short", "/x/"), _route("long", "/x/y/")
        for routes in ((short, long), (long, short)):
            matcher = _matcher(*routes)
            assert matcher.find("a.example", "/x/y/1") is long
            assert matcher.find("a.example", "/x/z") is short

    def test_other_host_or_path_has_none(self):
        matcher = _matcher(_route("r", "/x/"))
        assert matcher.find("b.example", "/x/1") is None
        assert matcher.find("a.example", "/y/1") is None
        # The prefix ends with a slash: "/x" is another path.
        assert matcher.find("a.example", "/x") is None


class TestWeightedSplit:
    """Every run of requests keeps the weights."""

    _TARGETS = (model.Target("a", 7.0), model.Target("b", 3.0))

    def test_every_prefix_is_within_one_request(self):
        split = table_lib.WeightedSplit(self._TARGETS, random.Random(3))
        taken = 0
        for number in range(1, 500):
            taken += split.next() == "a"
            assert abs(taken - 0.7 * number) <= 1.5

    def test_instances_with_few_requests_keep_the_shares_together(self):
        # Guards against a fixed start: with three requests each, all
        # instances would give the heavier service the same surplus.
        taken = total = 0
        for seed in range(200):
            split = table_lib.WeightedSplit(self._TARGETS, random.Random(seed))
            chosen = [split.next() for _ in range(3)]
            taken += chosen.count("a")
            total += len(chosen)
        assert abs(taken / total - 0.7) < 0.05

    def test_a_new_version_goes_on_where_the_old_one_was(self):
        route = _route("r", "/x/", targets=self._TARGETS)
        matcher = _matcher(route)
        taken = 0
        for number in range(1, 101):
            # A new version before every request.
            matcher = _matcher(route, previous=matcher)
            taken += matcher.service_of(route) == "a"
            assert abs(taken - 0.7 * number) <= 1.5
