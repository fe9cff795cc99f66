"""Checks of callers' requests; all faults are reported at once."""

import dataclasses
import functools
import hashlib
import json
import re
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import result

from mallowloft.configuration import model as config_model
from mallowloft.gather import model as gather_model
from mallowloft.kernel import findings as findings_lib
from mallowloft.submissions import model as submissions_model

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)
# Control characters in an identifier would end up in log lines.
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:/+=-]{1,128}")
_KEY = re.compile(r"[!-~]{1,512}")
# The status of several faults is the first of these that one of them has.
_STATUS_ORDER = (401, 413, 408, 400, 403, 404)

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


@dataclasses.dataclass(frozen=True)
class Received:
    """One request of a caller as it arrived.

    Attributes:
        request: Identifier that logs and answers carry.
        content: The body, None if it was not read whole.
        target: Service or group in the path.
        key: Value of the Idempotency-Key header.
        elapsed_ms: Time since the request was received.
    """

    request: str
    authorization: str
    content: bytes | None
    target: str = ""
    key: str | None = None
    elapsed_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Keys:
    """A checked request for idempotency keys."""

    team: str
    count: int


class Faults:
    """Faults of one request and the HTTP status they amount to."""

    def __init__(self) -> None:
        self.findings = findings_lib.Findings()
        self._statuses: set[int] = set()

    @property
    def ok(self) -> bool:
        """Whether the request has no fault."""
        return self.findings.ok

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        for status in _STATUS_ORDER:
            if status in self._statuses:
                return status
        return 400

    def add(self, place: str, message: str, status: int = 400) -> None:
        """Records one fault."""
        self.findings.add(place, message)
        self._statuses.add(status)

    def add_validation_error(
        self, place: str, error: pydantic.ValidationError
    ) -> None:
        """Records every fault of a pydantic error."""
        self.findings.add_validation_error(place, error)
        self._statuses.add(400)


class Credentials:
    """Teams by the digest of their credential.

    The index is built once for each snapshot, because a scan over all teams
    in every request grows with the number of teams.
    """

    def __init__(self) -> None:
        self._snapshot: config_model.Snapshot | None = None
        self._team_by_digest: dict[str, str] = {}

    def team_of(
        self, snapshot: config_model.Snapshot, authorization: str
    ) -> str | None:
        """Returns the team whose token an Authorization header carries."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        if snapshot is not self._snapshot:
            self._index(snapshot)
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._team_by_digest.get(digest)

    def _index(self, snapshot: config_model.Snapshot) -> None:
        self._team_by_digest = {}
        for name in sorted(snapshot.teams_by_name):
            digest = snapshot.teams_by_name[name].credential_sha256
            self._team_by_digest.setdefault(digest, name)
        self._snapshot = snapshot


@functools.cache
def _adapter(body_type: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(body_type)


def valid_request_id(request: str) -> bool:
    """Whether a caller's request identifier may be used."""
    return _REQUEST_ID.fullmatch(request) is not None


def _parse(body_type: type, content: bytes | None, faults: Faults) -> Any:
    if content is None:
        return None
    try:
        return _adapter(body_type).validate_json(content or b"{}")
    except pydantic.ValidationError as error:
        faults.add_validation_error("body", error)
        return None


def _json(value: Any, place: str, faults: Faults) -> bytes:
    """Encodes a part of the body for the upstream."""
    try:
        return json.dumps(value, allow_nan=False).encode()
    except (ValueError, RecursionError) as error:
        # Python reads NaN and very long integers that JSON or the upstream
        # does not.
        faults.add(place, f"cannot be passed on as JSON: {error}")
        return b""


class Checker:
    """Checks requests against a configuration snapshot."""

    def __init__(self) -> None:
        self._credentials = Credentials()

    def query(
        self, snapshot: config_model.Snapshot, received: Received
    ) -> result.Result[gather_model.Query, Faults]:
        """Returns the checked query, or every fault."""
        faults = Faults()
        team = self._team(snapshot, received, faults)
        self._check_granted(snapshot, team, received.target, faults)
        if team is not None and not snapshot.services_of(received.target):
            faults.add(
                "path.target",
                f"unknown service or group {received.target!r}",
                404,
            )
        body = _parse(QueryBody, received.content, faults)
        content = b""
        if body is not None:
            content = _json(body.query, "body.query", faults)
        if team is None or body is None or not faults.ok:
            return result.Err(faults)
        defaults = snapshot.queries_by_team.get(team, config_model.TeamQuery())
        deadline_ms = body.deadline_ms or defaults.default_deadline_ms
        min_coverage = body.min_coverage
        if min_coverage is None:
            min_coverage = defaults.min_coverage
        return result.Ok(
            gather_model.Query(
                request=received.request,
                team=team,
                snapshot=snapshot,
                target=received.target,
                rank=snapshot.rank_of(team),
                body=content,
                deadline_ms=deadline_ms - received.elapsed_ms,
                min_coverage=min_coverage,
                prefer=body.prefer or defaults.prefer,
            )
        )

    def keys(
        self, snapshot: config_model.Snapshot, received: Received
    ) -> result.Result[Keys, Faults]:
        """Returns the checked request for keys, or every fault."""
        faults = Faults()
        team = self._team(snapshot, received, faults)
        body = _parse(KeysBody, received.content, faults)
        if team is None or body is None or not faults.ok:
            return result.Err(faults)
        return result.Ok(Keys(team, body.count))

    def submission(
        self, snapshot: config_model.Snapshot, received: Received
    ) -> result.Result[submissions_model.Submission, Faults]:
        """Returns the checked submission, or every fault."""
        faults = Faults()
        team = self._team(snapshot, received, faults)
        self._check_granted(snapshot, team, received.target, faults)
        self._check_key(received.key, faults)
        body = _parse(SubmissionBody, received.content, faults)
        content = b""
        if body is not None:
            content = _json(body.body, "body.body", faults)
        if team is not None:
            shard = body.shard if body is not None else None
            self._check_shard(snapshot, received.target, shard, faults)
        if team is None or body is None or not faults.ok:
            return result.Err(faults)
        defaults = snapshot.queries_by_team.get(team, config_model.TeamQuery())
        deadline_ms = body.deadline_ms or defaults.default_deadline_ms
        return result.Ok(
            submissions_model.Submission(
                request=received.request,
                team=team,
                key=received.key or "",
                service=received.target,
                shard=body.shard,
                body=content,
                rank=snapshot.rank_of(team),
                deadline_ms=deadline_ms - received.elapsed_ms,
                first_send=body.first_send,
            )
        )

    def _team(
        self,
        snapshot: config_model.Snapshot,
        received: Received,
        faults: Faults,
    ) -> str | None:
        team = self._credentials.team_of(snapshot, received.authorization)
        if team is None:
            faults.add(
                "header.Authorization",
                "a bearer token of a team is needed",
                401,
            )
        return team

    def _check_granted(
        self,
        snapshot: config_model.Snapshot,
        team: str | None,
        target: str,
        faults: Faults,
    ) -> None:
        if team is None or not snapshot.services_of(target):
            return
        granted = snapshot.teams_by_name[team].targets
        if "*" not in granted and target not in granted:
            faults.add(
                "path.target", f"{target!r} is not granted to the team", 403
            )

    def _check_key(self, key: str | None, faults: Faults) -> None:
        if not key:
            faults.add(
                "header.Idempotency-Key",
                "is missing; get a key from POST /v1/keys and send the same"
                " key with every repeat of this submission",
            )
        elif not _KEY.fullmatch(key):
            faults.add(
                "header.Idempotency-Key", "is not a key from POST /v1/keys"
            )

    def _check_shard(
        self,
        snapshot: config_model.Snapshot,
        service_name: str,
        shard: str | None,
        faults: Faults,
    ) -> None:
        service = snapshot.services_by_name.get(service_name)
        if service is None:
            faults.add("path.service", f"unknown service {service_name!r}", 404)
            return
        index = snapshot.indexes_by_name.get(service.index)
        if shard is None or index is None:
            return
        known = any(
            shard in version.shards.get(service_name, {})
            for version in index.versions
        )
        if not known:
            faults.add("body.shard", f"unknown shard {shard!r} of the service")
