"""Validation of callers' requests; all errors are reported at once."""

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
# Identifiers are logged, so control characters are not permitted.
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:/+=-]{1,128}")
_KEY_PATTERN = re.compile(r"[!-~]{1,512}")
# If a request has several errors, the response has the first of these statuses
# that applies to one of them.
_STATUS_ORDER = (401, 413, 408, 400, 403, 404)

Deadline = Annotated[float, pydantic.Field(gt=0, le=60_000)]


@dataclasses.dataclass(frozen=True)
class QueryBody:
    """Body of `POST /v1/query/{target}`.

    An optional field that is None takes the team's default.
    """

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
    """Body of `POST /v1/submissions/{target}`."""

    __pydantic_config__ = _STRICT

    shard: str
    body: Any
    deadline_ms: Deadline | None = None
    first_send: bool = False


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A caller's request before validation.

    Attributes:
        request_id: Identifier of the request in logs and in the response.
        authorization: Value of the Authorization header.
        content: The body; None if it was not read completely.
        target: Service or group that the path names.
        key: Value of the Idempotency-Key header.
        elapsed_ms: Time since the headers of the request were received.
    """

    request_id: str
    authorization: str
    content: bytes | None
    target: str = ""
    key: str | None = None
    elapsed_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class KeysRequest:
    """A valid request for idempotency keys."""

    team: str
    count: int


class RequestErrors:
    """Errors found in one request, and the HTTP status of the response."""

    def __init__(self) -> None:
        self.findings = findings_lib.Findings()
        self._statuses: set[int] = set()

    @property
    def ok(self) -> bool:
        """Whether the request is valid."""
        return self.findings.ok

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        for status in _STATUS_ORDER:
            if status in self._statuses:
                return status
        return 400

    def add(self, place: str, message: str, status: int = 400) -> None:
        """Adds an error."""
        self.findings.add(place, message)
        self._statuses.add(status)

    def add_validation_error(
        self, place: str, error: pydantic.ValidationError
    ) -> None:
        """Adds every error that pydantic reports."""
        self.findings.add_validation_error(place, error)
        self._statuses.add(400)


class TeamIndex:
    """Finds the team that a bearer token belongs to.

    Teams are indexed by the SHA-256 digest of their token, once per snapshot. A
    scan of all teams in every request would slow down as teams are added.
    """

    def __init__(self) -> None:
        self._snapshot: config_model.Snapshot | None = None
        self._team_by_digest: dict[str, str] = {}

    def team_of(
        self, snapshot: config_model.Snapshot, authorization: str
    ) -> str | None:
        """Returns the team that an Authorization header identifies, or None."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        if snapshot is not self._snapshot:
            self._build_index(snapshot)
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._team_by_digest.get(digest)

    def _build_index(self, snapshot: config_model.Snapshot) -> None:
        self._team_by_digest = {}
        for name in sorted(snapshot.teams_by_name):
            digest = snapshot.teams_by_name[name].credential_sha256
            self._team_by_digest.setdefault(digest, name)
        self._snapshot = snapshot


@functools.cache
def _type_adapter(body_type: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(body_type)


def is_valid_request_id(request_id: str) -> bool:
    """Returns whether a request identifier has the permitted form."""
    return _REQUEST_ID_PATTERN.fullmatch(request_id) is not None


def _parse_body(
    body_type: type, content: bytes | None, errors: RequestErrors
) -> Any:
    if content is None:
        return None
    try:
        return _type_adapter(body_type).validate_json(content or b"{}")
    except pydantic.ValidationError as error:
        errors.add_validation_error("body", error)
        return None


def _encode_json(value: Any, place: str, errors: RequestErrors) -> bytes:
    """Encodes a value from the body as JSON for the upstream."""
    try:
        return json.dumps(value, allow_nan=False).encode()
    except (ValueError, RecursionError) as error:
        # The parser of the body accepts NaN, which JSON does not have, and
        # integers that are too long for `json.dumps`.
        errors.add(place, f"cannot be forwarded as JSON: {error}")
        return b""


class RequestValidator:
    """Validates requests against a configuration snapshot."""

    def __init__(self) -> None:
        self._team_index = TeamIndex()

    def validate_query(
        self, snapshot: config_model.Snapshot, request: RawRequest
    ) -> result.Result[gather_model.Query, RequestErrors]:
        """Returns the valid query, or every error found.

        Without a valid token, the target is not checked.
        """
        errors = RequestErrors()
        team = self._authenticate(snapshot, request, errors)
        self._check_access(snapshot, team, request.target, errors)
        if team is not None and not snapshot.services_of(request.target):
            errors.add(
                "path.target",
                f"unknown service or group {request.target!r}",
                404,
            )
        body = _parse_body(QueryBody, request.content, errors)
        content = b""
        if body is not None:
            content = _encode_json(body.query, "body.query", errors)
        if team is None or body is None or not errors.ok:
            return result.Err(errors)
        defaults = snapshot.queries_by_team.get(team, config_model.TeamQuery())
        deadline_ms = body.deadline_ms or defaults.default_deadline_ms
        min_coverage = body.min_coverage
        if min_coverage is None:
            min_coverage = defaults.min_coverage
        return result.Ok(
            gather_model.Query(
                request_id=request.request_id,
                team=team,
                snapshot=snapshot,
                target=request.target,
                rank=snapshot.rank_of(team),
                body=content,
                deadline_ms=deadline_ms - request.elapsed_ms,
                min_coverage=min_coverage,
                prefer=body.prefer or defaults.prefer,
            )
        )

    def validate_keys(
        self, snapshot: config_model.Snapshot, request: RawRequest
    ) -> result.Result[KeysRequest, RequestErrors]:
        """Returns the valid request for keys, or every error found."""
        errors = RequestErrors()
        team = self._authenticate(snapshot, request, errors)
        body = _parse_body(KeysBody, request.content, errors)
        if team is None or body is None or not errors.ok:
            return result.Err(errors)
        return result.Ok(KeysRequest(team, body.count))

    def validate_submission(
        self, snapshot: config_model.Snapshot, request: RawRequest
    ) -> result.Result[submissions_model.Submission, RequestErrors]:
        """Returns the valid submission, or every error found.

        Without a valid token, the service and the shard are not checked.
        """
        errors = RequestErrors()
        team = self._authenticate(snapshot, request, errors)
        self._check_access(snapshot, team, request.target, errors)
        self._check_key(request.key, errors)
        body = _parse_body(SubmissionBody, request.content, errors)
        content = b""
        if body is not None:
            content = _encode_json(body.body, "body.body", errors)
        if team is not None:
            shard = body.shard if body is not None else None
            self._check_shard(snapshot, request.target, shard, errors)
        if team is None or body is None or not errors.ok:
            return result.Err(errors)
        defaults = snapshot.queries_by_team.get(team, config_model.TeamQuery())
        deadline_ms = body.deadline_ms or defaults.default_deadline_ms
        return result.Ok(
            submissions_model.Submission(
                request_id=request.request_id,
                team=team,
                key=request.key or "",
                service=request.target,
                shard=body.shard,
                body=content,
                rank=snapshot.rank_of(team),
                deadline_ms=deadline_ms - request.elapsed_ms,
                first_send=body.first_send,
            )
        )

    def _authenticate(
        self,
        snapshot: config_model.Snapshot,
        request: RawRequest,
        errors: RequestErrors,
    ) -> str | None:
        team = self._team_index.team_of(snapshot, request.authorization)
        if team is None:
            errors.add(
                "header.Authorization",
                "the bearer token of a team is required",
                401,
            )
        return team

    def _check_access(
        self,
        snapshot: config_model.Snapshot,
        team: str | None,
        target: str,
        errors: RequestErrors,
    ) -> None:
        if team is None or not snapshot.services_of(target):
            return
        granted = snapshot.teams_by_name[team].targets
        if "*" not in granted and target not in granted:
            errors.add(
                "path.target", f"{target!r} is not granted to the team", 403
            )

    def _check_key(self, key: str | None, errors: RequestErrors) -> None:
        if not key:
            errors.add(
                "header.Idempotency-Key",
                "is missing; get a key from POST /v1/keys and send the same"
                " key with every retry of this submission",
            )
        elif not _KEY_PATTERN.fullmatch(key):
            errors.add(
                "header.Idempotency-Key", "is not a key from POST /v1/keys"
            )

    def _check_shard(
        self,
        snapshot: config_model.Snapshot,
        service_name: str,
        shard: str | None,
        errors: RequestErrors,
    ) -> None:
        service = snapshot.services_by_name.get(service_name)
        if service is None:
            errors.add("path.service", f"unknown service {service_name!r}", 404)
            return
        index = snapshot.indexes_by_name.get(service.index)
        if shard is None or index is None:
            # The body is invalid, or the service's shards are not known.
            return
        known = any(
            shard in version.shards.get(service_name, {})
            for version in index.versions
        )
        if not known:
            errors.add("body.shard", f"unknown shard {shard!r} of the service")
