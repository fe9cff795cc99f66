"""A stand-in for the platform's store, with one listener for each instance.

Each listener is a view: it may refuse calls, stay silent, and name other
addresses for replicas, so that the links of one instance can be cut.
"""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import json
import urllib.parse

_PAGE_ITEMS = 500


class View:
    """The store as one instance reaches it.

    Attributes:
        mode: "" to answer, "silent", "reset", or a status with which every
            call is refused.
        translate: Maps the address in an entry to the one that this instance
            uses.
        calls: Time, path and outcome of each call.
    """

    def __init__(self, store: "Store", name: str) -> None:
        self.name = name
        self.mode: str = ""
        self.translate: Callable[[str], str] = lambda address: address
        self.calls: list[tuple[float, str, str]] = []
        self.port = 0
        self._store = store
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Opens the listener."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                answer = await self._answer(path, fields)
                now_s = asyncio.get_running_loop().time()
                self.calls.append((now_s, path, str(answer and answer[0])))
                if answer is None:
                    writer.transport.abort()
                    return
                status, document = answer
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, fields: dict[str, str]):
        while self.mode == "silent":
            await asyncio.sleep(0.02)
        if self.mode == "reset":
            return None
        if self.mode:
            return int(self.mode), {}
        if path.endswith("/kv-range"):
            return 200, self._store.list(fields, self)
        if path.endswith("/kv-watch"):
            return await self._store.watch(fields, self)
        return 404, {}

    def encode(self, key: str, value: bytes) -> str:
        """Returns a value as this instance gets it."""
        if key.startswith("servers/"):
            entry = json.loads(value)
            entry["address"] = self.translate(entry["address"])
            value = json.dumps(entry).encode()
        return base64.b64encode(value).decode()


class Store:
    """Items, revisions and events; a call cannot fail by itself."""

    def __init__(self) -> None:
        self.revision = 100
        self._oldest = 100
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self.views: dict[str, View] = {}

    async def open_view(self, name: str, host: str) -> View:
        """Opens a listener for one instance."""
        view = self.views[name] = View(self, name)
        await view.start(host)
        return view

    def put(self, key: str, value: object) -> int:
        """Writes a value and returns its revision."""
        self.revision += 1
        data = json.dumps(value).encode()
        self._items[key] = (self.revision, data)
        self._record(key, data)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._record(key, None)

    def forget_history(self) -> None:
        """Drops the events so far."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def _record(self, key: str, data: bytes | None) -> None:
        self._events.append((self.revision, key, data))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def list(self, fields: dict[str, str], view: View) -> dict:
        """Returns one page of the items."""
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[:_PAGE_ITEMS]
        return {
            "items": [
                {
                    "key": key,
                    "value": view.encode(key, self._items[key][1]),
                    "revision": self._items[key][0],
                    "created": self._items[key][0],
                    "leaseId": 0,
                }
                for key in page
            ],
            "hasMore": len(keys) > len(page),
            "atRev": self.revision,
        }

    async def watch(self, fields: dict[str, str], view: View):
        """Waits for events after a revision and returns them."""
        after = int(fields["after"])
        wait_s = int(fields.get("waitMs", "0")) / 1000
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest:
                return 410, {}
            changed = self._changed
            events = [item for item in self._events if item[0] > after]
            left_s = end_s - asyncio.get_running_loop().time()
            if view.mode or events or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.2)):
                    await changed.wait()
        if view.mode:
            return None
        return 200, {
            "events": [
                {"key": key, "revision": revision, "compacted": True}
                if data is None
                else {
                    "key": key,
                    "value": view.encode(key, data),
                    "revision": revision,
                    "created": revision,
                    "leaseId": 0,
                }
                for revision, key, data in events
            ],
            "atRev": self.revision,
        }
