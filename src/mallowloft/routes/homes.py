"""Decides where requests with home regions may go.

A route may name the regions in which its requests are processed. The policy
then admits only replicas in these regions. Bodies pass only through instances
in these regions or in the region of this instance, which has them anyway.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

from mallowloft.routes import model

if TYPE_CHECKING:
    from mallowloft.routes import directory


def parse_regions(text: str) -> dict[str, str]:
    """Returns the regions by failure domain.

    Args:
        text: Comma-separated `domain=region`.
    """
    regions = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        domain, _, region = item.partition("=")
        regions[domain.strip()] = region.strip()
    return regions


class HomePolicy:
    """The regions of the failure domains and what routes allow in them."""

    def __init__(
        self,
        region_by_domain: Mapping[str, str] | None = None,
        failure_domain: str = "",
        region: str = "",
    ) -> None:
        """Creates the policy of an instance.

        Args:
            region_by_domain: Regions by failure domain. A failure domain
                without an entry is in no home.
            failure_domain: Failure domain of this instance.
            region: Its region, unless its failure domain has an entry.
        """
        self._region_by_domain = dict(region_by_domain or {})
        self._failure_domain = failure_domain
        self._own_region = self._region_by_domain.get(failure_domain, region)

    def allows(self, route: model.Route, failure_domain: str) -> bool:
        """Whether replicas of a failure domain may serve a route."""
        if not route.home_regions:
            return True
        return self._region_by_domain.get(failure_domain) in route.home_regions

    def allows_instance(self, route: model.Route, failure_domain: str) -> bool:
        """Whether instances of a failure domain may get a route's bodies."""
        if failure_domain == self._failure_domain:
            return True
        region = self._region_by_domain.get(failure_domain)
        if region is not None and region == self._own_region:
            return True
        return self.allows(route, failure_domain)

    def allowed_instances(
        self, route: model.Route, entries: Iterable["directory.ReplicaEntry"]
    ) -> list["directory.ReplicaEntry"]:
        """Returns the instances that may get a route's bodies."""
        return [
            entry
            for entry in entries
            if self.allows_instance(route, entry.replica.failure_domain)
        ]
