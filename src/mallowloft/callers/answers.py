"""Responses to callers: status, body and headers."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import math
from typing import Any

import msgspec

from mallowloft.callers import requests as requests_lib
from mallowloft.gather import model as gather_model
from mallowloft.submissions import model as submissions_model

_ADVICE_UNKNOWN = (
    "retry with the same key, at this or another instance, until the outcome"
    " is known; with a new key the submission may run a second time"
)
_ADVICE_NOT_RUN = (
    "send the submission with the fresh key and do not use this key again"
)
_ADVICE_REJECTED = (
    "this copy was not run and did not change the state of the key; retry with"
    " the same key"
)


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """Status, body and headers of an HTTP response."""

    status: int
    body: Mapping[str, Any]
    retry_after_ms: float | None = None

    @functools.cached_property
    def content(self) -> bytes:
        """The body as JSON."""
        body = dict(self.body)
        if self.retry_after_ms is not None:
            body["retry_after_ms"] = self.retry_after_ms
        return msgspec.json.encode(body)

    @property
    def headers(self) -> dict[str, str]:
        """The Retry-After header, if the response has a retry delay.

        The header is rounded up to whole seconds; `retry_after_ms` in the body
        is exact.
        """
        if self.retry_after_ms is None:
            return {}
        return {
            "Retry-After": str(max(1, math.ceil(self.retry_after_ms / 1000)))
        }


def error(
    status: int,
    code: str,
    message: str,
    retry_after_ms: float | None = None,
    **fields: Any,
) -> CallerResponse:
    """Returns a response that reports an error."""
    body = {"error": code, "message": message, **fields}
    return CallerResponse(status, body, retry_after_ms)


def invalid_request(errors: requests_lib.RequestErrors) -> CallerResponse:
    """Returns the response to an invalid request, with every error found."""
    codes = {401: "unauthorized", 404: "not_found", 413: "too_large"}
    return error(
        errors.status,
        codes.get(errors.status, "bad_request"),
        f"the request has {len(errors.findings)} error(s)",
        findings=errors.findings.as_list(),
    )


def _shard_list(
    shards: Iterable[gather_model.Shard],
) -> list[dict[str, str]]:
    return [{"service": item.service, "shard": item.name} for item in shards]


def _answer_body(answer: gather_model.Answer) -> dict[str, Any]:
    results: dict[str, dict[str, Any]] = {}
    for shard, content in answer.results.items():
        by_shard = results.setdefault(shard.service, {})
        by_shard[shard.name] = msgspec.Raw(content)
    return {
        "request_id": answer.request_id,
        "index_version": answer.index_version,
        "coverage": answer.coverage,
        "complete": not answer.lacking,
        "covered": _shard_list(answer.results),
        "lacking": [
            {"service": shard.service, "shard": shard.name, "reason": reason}
            for shard, reason in answer.lacking.items()
        ],
        "results": results,
        "attempts": {
            "sent": answer.attempts.sent,
            "hedges": answer.attempts.hedges,
            "retries": answer.attempts.retries,
        },
        "config_revision": answer.config_revision,
        "elapsed_ms": round(answer.elapsed_ms, 3),
    }


def query(answer: gather_model.Answer) -> CallerResponse:
    """Returns the response to a query."""
    return CallerResponse(200, _answer_body(answer))


def query_refused(refusal: gather_model.Refusal) -> CallerResponse:
    """Returns the response to a refused query, with any partial results."""
    fields = {}
    if refusal.answer is not None:
        fields = _answer_body(refusal.answer)
    return error(
        503, refusal.code, refusal.message, refusal.retry_after_ms, **fields
    )


def _upstream_reply(content: bytes) -> Any:
    """Returns an upstream's reply as JSON; other content becomes a string."""
    try:
        return msgspec.json.decode(content, type=msgspec.Raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return content.decode(errors="replace")


def done(request_id: str, outcome: submissions_model.Done) -> CallerResponse:
    """Returns the response to a submission that ran."""
    body = {
        "request_id": request_id,
        "outcome": "done",
        "reply": _upstream_reply(outcome.reply),
    }
    return CallerResponse(200, body)


def not_run(
    request_id: str, outcome: submissions_model.NotRun, fresh_key: str
) -> CallerResponse:
    """Returns the response to a submission that did not run.

    The key is used up: no submission with it will run later.
    """
    return error(
        503,
        outcome.reason,
        "the submission was not run",
        outcome.retry_after_ms,
        request_id=request_id,
        outcome="not_run",
        fresh_key=fresh_key,
        advice=_ADVICE_NOT_RUN,
    )


def mismatch(
    request_id: str, outcome: submissions_model.Mismatch
) -> CallerResponse:
    """Returns the response to a submission whose key is not valid for it.

    This copy of the submission did not run.
    """
    return error(
        422,
        "key_mismatch",
        "the key is not valid for this submission",
        findings=[
            {"place": "header.Idempotency-Key", "message": outcome.reason}
        ],
        request_id=request_id,
        this_copy_ran=False,
    )


def unknown(
    request_id: str, outcome: submissions_model.Unknown
) -> CallerResponse:
    """Returns the response to a submission whose outcome is unknown."""
    fields: dict[str, Any] = {}
    if outcome.this_copy_ran is not None:
        fields["this_copy_ran"] = outcome.this_copy_ran
    return error(
        504,
        outcome.reason,
        "it is not known whether the submission ran",
        outcome.retry_after_ms,
        request_id=request_id,
        outcome="unknown",
        advice=_ADVICE_UNKNOWN,
        **fields,
    )


def rejected(
    status: int,
    code: str,
    message: str,
    retry_after_ms: float,
    submission: submissions_model.Submission,
    fresh_key: str,
) -> CallerResponse:
    """Returns the response to a submission refused before its key was checked.

    An earlier copy with the same key may have run. The outcome is therefore
    "not_run" only if the caller declares this copy to be the first one.
    """
    if submission.first_send:
        fields = {
            "outcome": "not_run",
            "fresh_key": fresh_key,
            "advice": _ADVICE_NOT_RUN,
        }
    else:
        fields = {"outcome": "unknown", "advice": _ADVICE_REJECTED}
    return error(
        status,
        code,
        message,
        retry_after_ms,
        request_id=submission.request_id,
        this_copy_ran=False,
        **fields,
    )
