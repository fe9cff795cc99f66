"""Client of the platform's read-only services."""

from collections.abc import Iterable
import dataclasses
import json
from typing import Any
from typing import Protocol

import aiohttp
import result

from mallowloft import messages
from mallowloft.upstream import bodies

_READ_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 5.0


@dataclasses.dataclass(frozen=True)
class Entries:
    """Result of a read or a watch.

    Attributes:
        revision: Revision of the platform's configuration service when it
            answered; the next watch starts after it.
    """

    revision: int
    documents: tuple[messages.Document, ...]


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One instance in the platform's list."""

    id: str
    failure_domain: str
    peer: str
    state: str


@dataclasses.dataclass(frozen=True)
class InstanceList:
    """The platform's list, which may be outdated.

    Attributes:
        instances: Live and leaving instances of the system.
        upstream_states: Upstream states by replica id.
    """

    instances: tuple[ListedInstance, ...]
    upstream_states: dict[str, str]


class Platform(Protocol):
    """Interface to the platform's services; tests replace it."""

    async def read(self, prefix: str) -> result.Result[Entries, str]:
        """Reads all documents below a prefix."""

    async def watch(
        self, after: int, timeout_s: float
    ) -> result.Result[Entries, str]:
        """Waits for documents newer than a revision."""

    async def instances(self) -> result.Result[InstanceList, str]:
        """Reads the list of instances."""

    async def close(self) -> None:
        """Closes connections."""


def _decode_entries(body: dict[str, Any]) -> Entries:
    documents = (
        messages.Document(entry["path"], entry["revision"], entry["value"])
        for entry in body["entries"]
    )
    return Entries(body["revision"], tuple(documents))


def _decode_instance_list(body: dict[str, Any]) -> InstanceList:
    instances = (
        ListedInstance(
            item["id"], item["failure_domain"], item["peer"], item["state"]
        )
        for item in body["instances"]
    )
    states = {item["id"]: item["state"] for item in body["upstreams"]}
    return InstanceList(tuple(instances), states)


class HttpPlatform:
    """The platform's services over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._session: aiohttp.ClientSession | None = None

    async def read(self, prefix: str) -> result.Result[Entries, str]:
        """Reads all documents below a prefix."""
        return await self._get(
            "/v1/config", {"prefix": prefix}, _READ_TIMEOUT_S, _decode_entries
        )

    async def watch(
        self, after: int, timeout_s: float
    ) -> result.Result[Entries, str]:
        """Waits for documents newer than a revision."""
        parameters = {
            "after": str(after),
            "timeout_ms": str(int(timeout_s * 1000)),
        }
        return await self._get(
            "/v1/config/watch",
            parameters,
            timeout_s + _WATCH_MARGIN_S,
            _decode_entries,
        )

    async def instances(self) -> result.Result[InstanceList, str]:
        """Reads the list of instances."""
        return await self._get(
            "/v1/instances", {}, _READ_TIMEOUT_S, _decode_instance_list
        )

    async def close(self) -> None:
        """Closes connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _get(
        self, path: str, parameters: dict[str, str], timeout_s: float, decode
    ) -> result.Result[Any, str]:
        if not self._base_url:
            return result.Err("no platform URL is set")
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._base_url + path, params=parameters, timeout=timeout
            ) as response:
                if response.status != 200:
                    return result.Err(f"status {response.status}")
                return result.Ok(
                    decode(json.loads(await bodies.read(response)))
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return result.Err(f"{type(error).__name__}: {error}")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return result.Err(f"malformed answer: {error!r}")


def group_by_subtree(
    documents: Iterable[messages.Document], subtree_of
) -> list[messages.ConfigSubtree]:
    """Groups documents into subtrees, which may be partial."""
    by_subtree: dict[str, list[messages.Document]] = {}
    for document in documents:
        by_subtree.setdefault(subtree_of(document.path), []).append(document)
    return [
        messages.ConfigSubtree(
            name, max(item.revision for item in items), tuple(items)
        )
        for name, items in by_subtree.items()
    ]
