"""Selection of the index version that a query is pinned to."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from mallowloft.configuration import model as config_model
from mallowloft.gather import model

# Reports older than this are ignored. Replicas switch versions within seconds,
# so a replica that has not been asked since then may have loaded a newer
# version.
REPORT_MAX_AGE_S = 2.0
# A report may be stale at its source indefinitely, for example because of a
# lagging health endpoint. Therefore, at least one query in this interval tries
# a version that the reports rule out.
PROBE_INTERVAL_S = 1.0
# A replica that rejects a version newer than all that it serves (reply
# WRONG_VERSION) is assumed to be loading it. If the rejection were trusted for
# `REPORT_MAX_AGE_S`, queries would stay on the old version after replicas have
# dropped it. The version is therefore tried again earlier: after the last
# rejection, `LOADING_RETRY_RATIO` times the duration of the series of
# rejections has to pass, but at least `LOADING_RETRY_MIN_S`. A slow load is
# thus tried rarely.
LOADING_RETRY_MIN_S = 0.1
LOADING_RETRY_RATIO = 0.25
# Observations are kept for this many of the newest versions of each replica.
_MAX_OBSERVATIONS = 8
_UNMAPPED_SHARD = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    versions: frozenset[int]
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """The last reply of a replica that served or rejected a version.

    Attributes:
        served: Whether the replica answered for the version.
        time_s: When the reply arrived.
        since_s: When the first of a series of rejections arrived, the same as
            `time_s` if the version was served.
    """

    served: bool
    time_s: float
    since_s: float


class VersionReports:
    """Index versions that replicas serve.

    They are known from the outcomes of sub-requests and the version lists in
    replies.
    """

    def __init__(self) -> None:
        self._report_by_replica: dict[str, _Report] = {}
        # By replica and version. Observations take precedence over reports,
        # which may come from a lagging health endpoint.
        self._observations: dict[str, dict[int, _Observation]] = {}
        # By index name and version: since when the version has not been usable
        # (the last time that it was usable, or else the first check), and when
        # a query last tried it. The two times are equal until the first try.
        self._probe_times_s: dict[tuple[str, int], tuple[float, float]] = {}

    def report(
        self, replica: str, versions: Iterable[int], now_s: float
    ) -> None:
        """Records the versions that a reply lists for a replica."""
        self._report_by_replica[replica] = _Report(frozenset(versions), now_s)

    def observe(
        self, replica: str, version: int, served: bool, now_s: float
    ) -> None:
        """Records that a replica has just served or rejected a version."""
        by_version = self._observations.setdefault(replica, {})
        last = by_version.get(version)
        repeated = last is not None and not last.served and not served
        since_s = last.since_s if repeated else now_s
        by_version[version] = _Observation(served, now_s, since_s)
        if len(by_version) > _MAX_OBSERVATIONS:
            del by_version[min(by_version)]

    def is_known_not_to_serve(
        self,
        replica: str,
        version: int,
        now_s: float,
        trust_reports: bool = True,
    ) -> bool:
        """Whether a replica is known not to serve a version.

        Without a recent observation or report, the replica is assumed to serve
        the version.

        Args:
            replica: The replica.
            version: The index version.
            now_s: Current time.
            trust_reports: Whether a report that lists only older versions rules
                the version out. The replica may have loaded it since then.
        """
        observation = self._observations.get(replica, {}).get(version)
        if (
            observation is not None
            and now_s - observation.time_s <= REPORT_MAX_AGE_S
        ):
            if observation.served:
                return False
            # The report is not consulted when a retry is due: it may be based
            # on the same outdated state as the rejection.
            return not self._should_retry(replica, version, observation, now_s)
        report = self._report_by_replica.get(replica)
        if report is None or now_s - report.time_s > REPORT_MAX_AGE_S:
            return False
        if version in report.versions:
            return False
        return trust_reports or version < max(report.versions, default=version)

    def _should_retry(
        self, replica: str, version: int, rejection: _Observation, now_s: float
    ) -> bool:
        """Whether a rejected version that was loading should be tried again."""
        report = self._report_by_replica.get(replica)
        listed = report.versions if report else ()
        served = (
            number
            for number, observation in self._observations[replica].items()
            if observation.served
        )
        if version < max((*listed, *served), default=version):
            return False
        rejected_duration_s = rejection.time_s - rejection.since_s
        max_age_s = max(
            LOADING_RETRY_MIN_S, LOADING_RETRY_RATIO * rejected_duration_s
        )
        return now_s - rejection.time_s > max_age_s

    def choose(
        self,
        index_name: str,
        index: config_model.Index,
        services: Iterable[str],
        now_s: float,
        excluded: Collection[int] = (),
    ) -> config_model.IndexVersion | None:
        """Returns the newest version that some replica of each shard may serve.

        If there is none, the version with the fewest unserved shards is
        returned, the newest among equals, or None if all versions are excluded.
        From time to time, a version that the reports rule out is returned in
        case the reports are stale.

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
            unserved = self._count_unserved(
                version, services, now_s, not excluded
            )
            if unserved == 0:
                if not excluded:
                    self._probe_times_s[index_name, version.version] = (
                        now_s,
                        now_s,
                    )
                return version
            if self._try_probe(index_name, version, now_s):
                return version
            if best is None or unserved < best_unserved:
                best = version
                best_unserved = unserved
        return best

    def has_complete_version(
        self,
        index: config_model.Index,
        services: Iterable[str],
        now_s: float,
        excluded: Collection[int],
    ) -> bool:
        """Whether every shard may be served in a version not excluded."""
        services = tuple(services)
        return any(
            version.version not in excluded
            and self._count_unserved(version, services, now_s, False) == 0
            for version in index.versions
        )

    def _try_probe(
        self, index_name: str, version: config_model.IndexVersion, now_s: float
    ) -> bool:
        key = index_name, version.version
        since_s, tried_s = self._probe_times_s.setdefault(key, (now_s, now_s))
        interval_s = max(
            LOADING_RETRY_MIN_S, LOADING_RETRY_RATIO * (now_s - since_s)
        )
        if now_s - tried_s < min(interval_s, PROBE_INTERVAL_S):
            return False
        self._probe_times_s[key] = since_s, now_s
        return True

    def _count_unserved(
        self,
        version: config_model.IndexVersion,
        services: tuple[str, ...],
        now_s: float,
        trust_reports: bool,
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
                    self.is_known_not_to_serve(
                        item, number, now_s, trust_reports
                    )
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
        Replica ids by shard, and the shards of services that have no shard map
        in this version. The latter have the names from the newest version that
        maps the service, or a single name `*` if there is none, so that they
        reduce the coverage.
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
        names = newest.shards[service] if newest else (_UNMAPPED_SHARD,)
        unmapped.extend(model.Shard(service, shard) for shard in names)
    return mapped, unmapped
