"""HTTP client for the callers' and operators' interfaces of instances."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import ssl
from typing import Any

import aiohttp
import result

_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP response with a JSON body."""

    status: int
    body: Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class Failure:
    """A call that got no valid response.

    Attributes:
        reason: Explanation for the user.
        sent: Whether any part of the request may have been sent.
    """

    reason: str
    sent: bool


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Final outcome of a submission.

    Attributes:
        name: `done`, `not_run`, `unknown` or `faulty` (invalid request).
        detail: Body of the last response, or a message if there is none.
        key: The idempotency key, empty if none was issued.
        copies: Number of copies that the client sent or tried to send.
    """

    name: str
    detail: Mapping[str, Any]
    key: str = ""
    copies: int = 0


class Client:
    """Calls instances over HTTP."""

    def __init__(self, token: str = "", ca_file: str = "") -> None:
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._ssl: ssl.SSLContext | bool = True
        if ca_file:
            self._ssl = ssl.create_default_context(cafile=ca_file)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> result.Result[Answer, Failure]:
        """Sends a request to an instance and reads the response."""
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers={**self._headers, **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                ssl=self._ssl,
            ) as response:
                answer = json.loads(await response.read())
                return result.Ok(Answer(response.status, answer))
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            return result.Err(Failure(f"{url}: {error}", False))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            return result.Err(Failure(f"{url}: {reason}", True))
        except ValueError:
            return result.Err(
                Failure(f"{url}: the response is not valid JSON", True)
            )


class Submitter:
    """Sends one submission, with retries that use the same key.

    Until the outcome is final or the maximum number of copies is reached,
    another copy is sent to the next address. Copies have the same key, so the
    submission does not run twice.
    """

    def __init__(
        self,
        client: Client,
        urls: Sequence[str],
        max_copies: int,
        timeout_s: float,
    ) -> None:
        self._client = client
        self._urls = urls
        self._max_copies = max_copies
        self._timeout_s = timeout_s
        # Whether any copy may have run or may still run.
        self._may_run = False
        self._detail: Mapping[str, Any] = {}
        self._retry_delay_s = _MIN_RETRY_DELAY_S

    async def submit(self, service: str, body: Mapping[str, Any]) -> Outcome:
        """Fetches a key and sends copies until the outcome is known.

        At most `max_copies` copies are sent, so the outcome may stay unknown.
        """
        key = await self._fetch_key()
        if key is None:
            invalid = "findings" in self._detail
            return Outcome("faulty" if invalid else "not_run", self._detail)
        for copy in range(1, self._max_copies + 1):
            url = self._urls[(copy - 1) % len(self._urls)]
            name = await self._send_copy(url, service, key, body)
            if name is not None:
                return Outcome(name, self._detail, key, copy)
            await asyncio.sleep(self._retry_delay_s)
        name = "unknown" if self._may_run else "not_run"
        return Outcome(name, self._detail, key, self._max_copies)

    async def _fetch_key(self) -> str | None:
        for url in self._urls:
            call_result = await self._client.call(
                "POST", f"{url}/v1/keys", {"count": 1}, None, self._timeout_s
            )
            if call_result.is_err():
                self._detail = {"message": call_result.unwrap_err().reason}
                continue
            answer = call_result.unwrap()
            self._detail = answer.body
            if answer.status == 200:
                return answer.body["keys"][0]
            if "findings" in answer.body:
                return None
        return None

    async def _send_copy(
        self, url: str, service: str, key: str, body: Mapping[str, Any]
    ) -> str | None:
        """Sends one copy; returns its outcome, or None if it is not final."""
        call_result = await self._client.call(
            "POST",
            f"{url}/v1/submissions/{service}",
            # True as long as no earlier copy may have run.
            {**body, "first_send": not self._may_run},
            {"Idempotency-Key": key},
            self._timeout_s,
        )
        if call_result.is_err():
            failure = call_result.unwrap_err()
            self._detail = {"message": failure.reason}
            self._may_run = self._may_run or failure.sent
            self._retry_delay_s = _MIN_RETRY_DELAY_S
            return None
        answer = call_result.unwrap()
        self._detail = answer.body
        outcome = answer.body.get("outcome")
        if outcome in ("done", "not_run"):
            return outcome
        if "findings" in answer.body:
            return "unknown" if self._may_run else "faulty"
        if answer.body.get("this_copy_ran") is not False:
            self._may_run = True
        retry_delay_s = answer.body.get("retry_after_ms", 0) / 1000
        self._retry_delay_s = min(
            max(retry_delay_s, _MIN_RETRY_DELAY_S), _MAX_RETRY_DELAY_S
        )
        return None
