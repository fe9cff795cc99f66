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
    """The route with the longest matching prefix of the host is used."""

    def test_longest_prefix(self):
        short, long = _route("short", "/x/"), _route("long", "/x/y/")
        for routes in ((short, long), (long, short)):
            matcher = _matcher(*routes)
            assert matcher.find("a.example", "/x/y/1") is long
            assert matcher.find("a.example", "/x/z") is short

    def test_other_host_or_path_has_no_route(self):
        matcher = _matcher(_route("r", "/x/"))
        assert matcher.find("b.example", "/x/1") is None
        assert matcher.find("a.example", "/y/1") is None
        # The prefix ends with a slash, so "/x" does not match.
        assert matcher.find("a.example", "/x") is None

    def test_current_form_of_a_route_of_an_earlier_version(self):
        old = _route("r", "/x/", targets=(model.Target("a", 1.0),))
        new = _route("renamed", "/x/", targets=(model.Target("b", 1.0),))
        assert _matcher(new).current(old) is new
        assert _matcher(_route("r", "/y/")).current(old) is None


class TestWeightedSplit:
    """Every sequence of requests keeps the weights."""

    _TARGETS = (model.Target("a", 7.0), model.Target("b", 3.0))

    def test_shares_deviate_by_about_one_request_at_most(self):
        split = table_lib.WeightedSplit(self._TARGETS, random.Random(3))
        count_a = 0
        for number in range(1, 500):
            count_a += split.next() == "a"
            assert abs(count_a - 0.7 * number) <= 1.5

    def test_instances_with_few_requests_together_keep_the_weights(self):
        # Guards against a fixed start: with three requests for each instance,
        # all instances would send the same surplus to the heavier service.
        count_a = total = 0
        for seed in range(200):
            split = table_lib.WeightedSplit(self._TARGETS, random.Random(seed))
            chosen = [split.next() for _ in range(3)]
            count_a += chosen.count("a")
            total += len(chosen)
        assert abs(count_a / total - 0.7) < 0.05

    def test_new_version_continues_the_split(self):
        route = _route("r", "/x/", targets=self._TARGETS)
        matcher = _matcher(route)
        count_a = 0
        for number in range(1, 101):
            # Every request uses a new version.
            matcher = _matcher(route, previous=matcher)
            count_a += matcher.choose_service(route) == "a"
            assert abs(count_a - 0.7 * number) <= 1.5
