"""Finds the route of a request and chooses the service."""

import random

from mallowloft.routes import model


class WeightedSplit:
    """Distributes requests over services by weight.

    Uses smooth weighted round robin, so that no service deviates from its share
    by more than about one request, however few requests an instance gets. The
    start is random, because instances that all begin with the same service
    would together send too many requests to it.
    """

    def __init__(
        self, targets: tuple[model.Target, ...], rng: random.Random
    ) -> None:
        self._targets = targets
        self._total = sum(target.weight for target in targets)
        self._credits = [target.weight * rng.random() for target in targets]

    def next(self) -> str:
        """Returns the service for the next request."""
        for index, target in enumerate(self._targets):
            self._credits[index] += target.weight
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._targets[chosen].service


class RouteMatcher:
    """Matches requests to routes by host and prefix.

    The routes are those of one version of the route table.
    """

    def __init__(
        self,
        table: model.Table,
        rng: random.Random,
        previous: "RouteMatcher | None" = None,
    ) -> None:
        self.table = table
        self._routes_by_host: dict[str, list[model.Route]] = {}
        self._route_by_rule = {
            (route.host, route.prefix): route
            for route in reversed(table.routes)
        }
        for route in table.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        previous_splits = previous._split_by_targets if previous else {}
        self._split_by_targets: dict[
            tuple[str, tuple[model.Target, ...]], WeightedSplit
        ] = {}
        for route in table.routes:
            key = (route.name, route.targets)
            if len(route.targets) > 1:
                self._split_by_targets[key] = previous_splits.get(
                    key
                ) or WeightedSplit(route.targets, rng)

    def find(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest matching prefix, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def current(self, route: model.Route) -> model.Route | None:
        """Returns the present form of a route, None if it was removed.

        Args:
            route: The route in any version of the table.
        """
        return self._route_by_rule.get((route.host, route.prefix))

    def choose_service(self, route: model.Route) -> str:
        """Chooses the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        return self._split_by_targets[(route.name, route.targets)].next()
