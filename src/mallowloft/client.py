"""Client of the callers' and operators' interfaces, for the command line."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import ssl
from typing import Any

import aiohttp
import result

_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP answer with a JSON body."""

    status: int
    body: Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class Failure:
    """A call without an answer.

    Attributes:
        reason: Explanation for the user.
        sent: Whether any byte of the request may have been written.
    """

    reason: str
    sent: bool


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a submission ended.

    Attributes:
        name: `done`, `not_run`, `unknown` or `faulty`.
        detail: The last answer or the reason why there is none.
        key: The idempotency key, empty if none was issued.
        copies: Number of copies that were sent or tried.
    """

    name: str
    detail: Mapping[str, Any]
    key: str = ""
    copies: int = 0


class Client:
    """Calls one or several instances."""

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
        """Calls an instance."""
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
            return result.Err(Failure(f"{url}: the answer is not JSON", True))


class Submitter:
    """Sends one submission and repeats it with the same key.

    A copy whose outcome is not known is repeated at the next address. Only
    that can turn "unknown" into an outcome, and it never runs twice.
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
        # Whether some copy may have run or may still run.
        self._may_run = False
        self._detail: Mapping[str, Any] = {}
        self._pause_s = _MIN_PAUSE_S

    async def submit(self, service: str, body: Mapping[str, Any]) -> Outcome:
        """Fetches a key and sends copies until the outcome is known."""
        key = await self._fetch_key()
        if key is None:
            refused = "findings" in self._detail
            return Outcome("faulty" if refused else "not_run", self._detail)
        for copy in range(1, self._max_copies + 1):
            url = self._urls[(copy - 1) % len(self._urls)]
            name = await self._send(url, service, key, body)
            if name is not None:
                return Outcome(name, self._detail, key, copy)
            await asyncio.sleep(self._pause_s)
        name = "unknown" if self._may_run else "not_run"
        return Outcome(name, self._detail, key, self._max_copies)

    async def _fetch_key(self) -> str | None:
        for url in self._urls:
            called = await self._client.call(
                "POST", f"{url}/v1/keys", {"count": 1}, None, self._timeout_s
            )
            if called.is_err():
                self._detail = {"message": called.unwrap_err().reason}
                continue
            answer = called.unwrap()
            self._detail = answer.body
            if answer.status == 200:
                return answer.body["keys"][0]
            if "findings" in answer.body:
                return None
        return None

    async def _send(
        self, url: str, service: str, key: str, body: Mapping[str, Any]
    ) -> str | None:
        """Sends one copy; returns the outcome once it is known."""
        called = await self._client.call(
            "POST",
            f"{url}/v1/submissions/{service}",
            # Copies that certainly did not run do not count as sent.
            {**body, "first_send": not self._may_run},
            {"Idempotency-Key": key},
            self._timeout_s,
        )
        if called.is_err():
            failure = called.unwrap_err()
            self._detail = {"message": failure.reason}
            self._may_run = self._may_run or failure.sent
            self._pause_s = _MIN_PAUSE_S
            return None
        answer = called.unwrap()
        self._detail = answer.body
        outcome = answer.body.get("outcome")
        if outcome in ("done", "not_run"):
            return outcome
        if "findings" in answer.body:
            return "unknown" if self._may_run else "faulty"
        if answer.body.get("this_copy_ran") is not False:
            self._may_run = True
        pause_s = answer.body.get("retry_after_ms", 0) / 1000
        self._pause_s = min(max(pause_s, _MIN_PAUSE_S), _MAX_PAUSE_S)
        return None
