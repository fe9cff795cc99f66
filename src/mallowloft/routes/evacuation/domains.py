"""Which failure domains are evacuated or return."""

from collections.abc import Callable
import dataclasses
from typing import Any

from mallowloft.kernel import logs
from mallowloft.routes.evacuation import ramp as ramp_lib

_log = logs.get_logger("evacuation")

# A ramp starts without an evacuation if at least this many replicas of a
# domain, and at least this share of all of them, were listed within this time.
_MIN_LISTED = 5
_MIN_LISTED_SHARE = 0.5
_LISTED_WITHIN_S = 2.0
# The replicas of a new domain are listed one after the other, and an instance
# that starts lists all of them. Neither is a return.
_MIN_KNOWN_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """A failure domain to which load returns.

    Attributes:
        revision: The source's revision that ended the evacuation; 0 if the
            domain returns without one.
    """

    revision: int
    ramp: ramp_lib.ReturnRamp


class Evacuations:
    """The evacuated failure domains and those that return.

    The caller passes the current loop time in seconds.

    Attributes:
        revision_by_domain: The source's revision at which each evacuated
            domain became known as such.
        returns_by_domain: The domains that return.
    """

    def __init__(self) -> None:
        self.revision_by_domain: dict[str, int] = {}
        self.returns_by_domain: dict[str, Return] = {}
        # When the first replica of a domain was listed, and the times of the
        # last ones.
        self._known_since_s_by_domain: dict[str, float] = {}
        self._listed_s_by_domain: dict[str, list[float]] = {}

    def __contains__(self, failure_domain: str) -> bool:
        return failure_domain in self.revision_by_domain

    def ramp_of(self, failure_domain: str) -> ramp_lib.ReturnRamp | None:
        """Returns the ramp of a domain, None if it does not return."""
        returning = self.returns_by_domain.get(failure_domain)
        return returning.ramp if returning else None

    def set(
        self,
        failure_domains: frozenset[str],
        revision: int,
        now_s: float,
        count_replicas: Callable[[str], int],
    ) -> frozenset[str]:
        """Sets the evacuated domains.

        Args:
            failure_domains: All domains that are evacuated from now on.
            revision: The source's revision of the change.
            now_s: Current loop time.
            count_replicas: Returns the number of listed replicas of a domain.

        Returns:
            The domains whose evacuation begins or ends.
        """
        changed = failure_domains ^ self.revision_by_domain.keys()
        for domain in sorted(changed):
            fields = {
                "domain": domain,
                "revision": revision,
                "replicas": count_replicas(domain),
            }
            if domain in failure_domains:
                self.revision_by_domain[domain] = revision
                self.returns_by_domain.pop(domain, None)
                _log.warning("domain_evacuated", **fields)
            else:
                del self.revision_by_domain[domain]
                self._start_return(domain, revision, now_s)
                _log.info("domain_returns", **fields)
        return changed

    def record_listed(
        self, failure_domain: str, replicas: int, now_s: float
    ) -> bool:
        """Records a newly listed replica.

        Args:
            failure_domain: Failure domain of the replica.
            replicas: Number of its listed replicas.
            now_s: Current loop time.

        Returns:
            Whether the domain returns from now on.
        """
        known_s = self._known_since_s_by_domain.setdefault(
            failure_domain, now_s
        )
        if now_s - known_s < _MIN_KNOWN_S:
            return False
        listed_s = [
            at_s
            for at_s in self._listed_s_by_domain.get(failure_domain, ())
            if now_s - at_s < _LISTED_WITHIN_S
        ]
        listed_s.append(now_s)
        self._listed_s_by_domain[failure_domain] = listed_s
        if (
            len(listed_s) < max(_MIN_LISTED, _MIN_LISTED_SHARE * replicas)
            or failure_domain in self.revision_by_domain
            or failure_domain in self.returns_by_domain
        ):
            return False
        self._start_return(failure_domain, 0, now_s)
        _log.info(
            "domain_returns",
            domain=failure_domain,
            revision=0,
            replicas=replicas,
        )
        return True

    def advance(
        self,
        now_s: float,
        cold_share_of: Callable[[str], float],
        count_replicas: Callable[[str], int],
    ) -> list[str]:
        """Advances the ramps.

        Args:
            now_s: Current loop time.
            cold_share_of: Returns the share of a domain's replicas that are
                cold.
            count_replicas: Returns the number of listed replicas of a domain.

        Returns:
            The domains that have returned.
        """
        returned = []
        for domain, returning in list(self.returns_by_domain.items()):
            returning.ramp.advance(now_s, cold_share_of(domain))
            if not returning.ramp.done:
                continue
            del self.returns_by_domain[domain]
            returned.append(domain)
            _log.info(
                "domain_returned",
                domain=domain,
                revision=returning.revision,
                replicas=count_replicas(domain),
            )
        return returned

    def dump(self) -> dict[str, Any]:
        """Returns the domains with revisions as JSON-ready data."""
        return {
            "evacuated": dict(self.revision_by_domain),
            "returning": {
                domain: {
                    "revision": returning.revision,
                    "share": returning.ramp.share,
                }
                for domain, returning in self.returns_by_domain.items()
            },
        }

    def _start_return(
        self, failure_domain: str, revision: int, now_s: float
    ) -> None:
        self.returns_by_domain[failure_domain] = Return(
            revision, ramp_lib.ReturnRamp(now_s)
        )
