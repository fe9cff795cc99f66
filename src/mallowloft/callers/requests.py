"""Checks of callers' requests; all faults are reported at once."""

import dataclasses
import functools
import hashlib
import json
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import result

from mallowloft.configuration import model as config_model
from mallowloft.gather import model as gather_model
from mallowloft.kernel import findings as findings_lib

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)

Deadline = Annotated[float, pydantic.Field(gt=0, le=60_000)]


@dataclasses.dataclass(frozen=True)
class QueryBody:
    """Body of `POST /v1/query/{target}`; None takes the team's default."""

    __pydantic_config__ = _STRICT

    query: Any
    deadline_ms: Deadline | None = None
    min_coverage: config_model.Share | None = None
    prefer: Literal["time", "coverage"] | None = None


@dataclasses.dataclass(frozen=True)
class KeysBody:
    """Body of `POST /v1/keys`."""

    __pydantic_config__ = _STRICT

    count: Annotated[int, pydantic.Field(ge=1, le=1000)] = 1


@dataclasses.dataclass(frozen=True)
class SubmissionBody:
    """Body of `POST /v1/submissions/{service}`."""

    __pydantic_config__ = _STRICT

    shard: str
    body: Any
    deadline_ms: Deadline | None = None
    first_send: bool = False


@functools.cache
def _adapter(body_type: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(body_type)


def team_of(snapshot: config_model.Snapshot, authorization: str) -> str | None:
    """Returns the team whose credential an Authorization header carries."""
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    digest = hashlib.sha256(token.encode()).hexdigest()
    for name, team in snapshot.teams_by_name.items():
        if team.credential_sha256 == digest:
            return name
    return None


def parse(
    body_type: type, content: bytes, findings: findings_lib.Findings
) -> Any:
    """Returns a checked body, or None after adding every fault."""
    try:
        return _adapter(body_type).validate_json(content or b"{}")
    except pydantic.ValidationError as error:
        findings.add_validation_error("body", error)
        return None


def check_target(
    snapshot: config_model.Snapshot,
    team: str,
    target: str,
    findings: findings_lib.Findings,
) -> None:
    """Adds a fault if the target is unknown or not granted to the team."""
    if not snapshot.services_of(target):
        findings.add("path.target", f"unknown service or group {target!r}")
        return
    granted = snapshot.teams_by_name[team].targets
    if "*" not in granted and target not in granted:
        findings.add("path.target", f"{target!r} is not granted to the team")


def query(
    request: str,
    snapshot: config_model.Snapshot,
    team: str,
    target: str,
    content: bytes,
) -> result.Result[gather_model.Query, findings_lib.Findings]:
    """Returns the checked query, or every fault."""
    findings = findings_lib.Findings()
    check_target(snapshot, team, target, findings)
    body = parse(QueryBody, content, findings)
    if body is None or not findings.ok:
        return result.Err(findings)
    defaults = snapshot.queries_by_team.get(team, config_model.TeamQuery())
    min_coverage = body.min_coverage
    if min_coverage is None:
        min_coverage = defaults.min_coverage
    return result.Ok(
        gather_model.Query(
            request=request,
            team=team,
            snapshot=snapshot,
            target=target,
            rank=snapshot.rank_of(team),
            body=json.dumps(body.query).encode(),
            deadline_ms=body.deadline_ms or defaults.default_deadline_ms,
            min_coverage=min_coverage,
            prefer=body.prefer or defaults.prefer,
        )
    )
