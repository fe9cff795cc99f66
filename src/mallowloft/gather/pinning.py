"""Choice of the index version that a query is pinned to."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from mallowloft.configuration import model as config_model
from mallowloft.gather import model

# A report older than this says nothing: versions flip within seconds, and a
# replica that has not been asked since then may have loaded a newer one.
REPORT_MAX_AGE_S = 2.0
# Reports may be stale at their source for ever (a lagging health endpoint).
# At least one query in this interval tries a version that the reports rule
# out.
PROBE_INTERVAL_S = 1.0
# A version that is newer than all a replica serves is being loaded. Knowledge
# of that kept queries on the old version after replicas had dropped it, so it
# is doubted after this time at first, and after this share of the time for
# which it has held, so that a slow load is tried rarely.
LOADING_MIN_S = 0.1
LOADING_SHARE = 0.25
# Newest versions per replica of which evidence is kept.
_MAX_EVIDENCE = 8
_NO_MAP = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    versions: frozenset[int]
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """The last answer or denial of a version.

    Attributes:
        since_s: When the version was first denied without an answer since.
    """

    served: bool
    time_s: float
    since_s: float


class VersionReports:
    """Index versions that replicas serve, from their replies and reports."""

    def __init__(self) -> None:
        self._report_by_replica: dict[str, _Report] = {}
        # By replica and version; it outweighs reports, which may come from a
        # health endpoint that lags.
        self._evidence: dict[str, dict[int, _Evidence]] = {}
        # When a version was last usable and when it was last tried.
        self._tried_s: dict[tuple[str, int], tuple[float, float]] = {}

    def report(
        self, replica: str, versions: Iterable[int], now_s: float
    ) -> None:
        """Records the versions that a reply names for a replica."""
        self._report_by_replica[replica] = _Report(frozenset(versions), now_s)

    def observe(
        self, replica: str, version: int, served: bool, now_s: float
    ) -> None:
        """Records that a replica has just answered for a version or denied."""
        by_version = self._evidence.setdefault(replica, {})
        last = by_version.get(version)
        repeated = last is not None and not last.served and not served
        since_s = last.since_s if repeated else now_s
        by_version[version] = _Evidence(served, now_s, since_s)
        if len(by_version) > _MAX_EVIDENCE:
            del by_version[min(by_version)]

    def lacks(
        self,
        replica: str,
        version: int,
        now_s: float,
        trust_lists: bool = True,
    ) -> bool:
        """Whether recent knowledge rules out that a replica serves a version.

        Without recent knowledge the replica is assumed to serve it.

        Args:
            replica: The replica.
            version: The index version.
            now_s: Current time.
            trust_lists: Whether a list of older versions rules it out; the
                replica may have loaded it since.
        """
        evidence = self._evidence.get(replica, {}).get(version)
        if evidence is not None and now_s - evidence.time_s <= REPORT_MAX_AGE_S:
            if evidence.served:
                return False
            # Lists repeat a denial, so they do not outlast it.
            return not self._is_due(replica, version, evidence, now_s)
        report = self._report_by_replica.get(replica)
        if report is None or now_s - report.time_s > REPORT_MAX_AGE_S:
            return False
        if version in report.versions:
            return False
        return trust_lists or version < max(report.versions, default=version)

    def _is_due(
        self, replica: str, version: int, denial: _Evidence, now_s: float
    ) -> bool:
        """Whether a version that was being loaded should be tried again."""
        report = self._report_by_replica.get(replica)
        listed = report.versions if report else ()
        served = (
            number
            for number, evidence in self._evidence[replica].items()
            if evidence.served
        )
        if version < max((*listed, *served), default=version):
            return False
        denied_s = denial.time_s - denial.since_s
        max_age_s = max(LOADING_MIN_S, LOADING_SHARE * denied_s)
        return now_s - denial.time_s > max_age_s

    def choose(
        self,
        index_name: str,
        index: config_model.Index,
        services: Iterable[str],
        now_s: float,
        excluded: Collection[int] = (),
    ) -> config_model.IndexVersion | None:
        """Returns the newest version that every shard can serve now.

        If no version qualifies, the one with the fewest shards that nobody
        serves is returned, the newest among equals.

        Args:
            index_name: Name of the index.
            index: The published versions.
            services: Services of the query.
            now_s: Current time.
            excluded: Versions that the query has already tried.
        """
        services = tuple(services)
        best: config_model.IndexVersion | None = None
        best_unserved = 0
        newest_first = sorted(
            index.versions, key=lambda item: item.version, reverse=True
        )
        for version in newest_first:
            if version.version in excluded:
                continue
            unserved = self._unserved(version, services, now_s, not excluded)
            if unserved == 0:
                if not excluded:
                    self._tried_s[index_name, version.version] = now_s, now_s
                return version
            if self._probe(index_name, version, now_s):
                return version
            if best is None or unserved < best_unserved:
                best = version
                best_unserved = unserved
        return best

    def serves_all(
        self,
        index: config_model.Index,
        services: Iterable[str],
        now_s: float,
        excluded: Collection[int],
    ) -> bool:
        """Whether a version other than the excluded ones may be complete."""
        services = tuple(services)
        return any(
            version.version not in excluded
            and self._unserved(version, services, now_s, False) == 0
            for version in index.versions
        )

    def _probe(
        self, index_name: str, version: config_model.IndexVersion, now_s: float
    ) -> bool:
        key = index_name, version.version
        since_s, tried_s = self._tried_s.setdefault(key, (now_s, now_s))
        interval_s = max(LOADING_MIN_S, LOADING_SHARE * (now_s - since_s))
        if now_s - tried_s < min(interval_s, PROBE_INTERVAL_S):
            return False
        self._tried_s[key] = since_s, now_s
        return True

    def _unserved(
        self,
        version: config_model.IndexVersion,
        services: tuple[str, ...],
        now_s: float,
        trust_lists: bool,
    ) -> int:
        number = version.version
        unserved = 0
        for service in services:
            shard_map = version.shards.get(service)
            if shard_map is None:
                unserved += 1
                continue
            for replicas in shard_map.values():
                if all(
                    self.lacks(item, number, now_s, trust_lists)
                    for item in replicas
                ):
                    unserved += 1
        return unserved


def shards_of(
    index: config_model.Index,
    version: config_model.IndexVersion,
    services: Iterable[str],
) -> tuple[dict[model.Shard, tuple[str, ...]], list[model.Shard]]:
    """Returns the shards of services in a version.

    Returns:
        Replica ids by shard, and the shards of services that have no map in
        this version. Those are named as the newest version that maps the
        service names them, else by one `*`, so that coverage counts them.
    """
    mapped: dict[model.Shard, tuple[str, ...]] = {}
    unmapped: list[model.Shard] = []
    for service in services:
        shard_map = version.shards.get(service)
        if shard_map is not None:
            for shard, replicas in shard_map.items():
                mapped[model.Shard(service, shard)] = tuple(replicas)
            continue
        others = [item for item in index.versions if service in item.shards]
        newest = max(others, key=lambda item: item.version, default=None)
        names = newest.shards[service] if newest else (_NO_MAP,)
        unmapped.extend(model.Shard(service, shard) for shard in names)
    return mapped, unmapped
