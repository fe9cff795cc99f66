"""Stand-in for the platform's metadata store, read-only for instances."""

import asyncio
import base64
import json
import time
import urllib.parse

_PAGE_ITEMS = 500


class Store:
    """Serves listings and watches as the users' protocol page describes.

    Attributes:
        era: Number of times that the store came back from a copy.
        stale_s: Age of what listings with `staleRead` show.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 0
        self.stale_s = 0.0
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[tuple[int, str, bytes | None]] = []
        self.oldest = 100
        self._states: list[tuple[float, dict[str, tuple[int, bytes]]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._record_state()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: object) -> int:
        """Writes a key and returns the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (self.revision, value)
        self._notify(key, value)
        return self.revision

    def remove(self, key: str) -> int:
        """Removes a key and returns the revision."""
        self.revision += 1
        del self.items[key]
        self._notify(key, None)
        return self.revision

    def copy(self) -> tuple:
        """Returns a copy of the state, for `restore`."""
        return self.revision, dict(self.items)

    def restore(self, copy: tuple) -> None:
        """Comes back from a copy; all connections are closed."""
        self.revision, items = copy
        self.items = dict(items)
        self.events = [event for event in self.events if event[0] <= copy[0]]
        self.era += 1
        self._record_state()
        for writer in list(self._writers):
            writer.transport.abort()

    def _notify(self, key: str, value: bytes | None) -> None:
        self.events.append((self.revision, key, value))
        self._record_state()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _record_state(self) -> None:
        self._states.append((time.monotonic(), dict(self.items)))

    def _stale_items(self) -> dict[str, tuple[int, bytes]]:
        """Returns the items as they were `stale_s` ago."""
        limit_s = time.monotonic() - self.stale_s
        found = self._states[0][1]
        for at_s, items in self._states:
            if at_s <= limit_s:
                found = items
        return found

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                if path == "/mallowloft/kv-range":
                    status, body = 200, self._range(fields)
                else:
                    status, body = await self._watch(fields)
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _item(self, key: str, revision: int, value: bytes) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "leaseId": 0,
        }

    def _range(self, fields: dict[str, str]) -> dict:
        source = self.items
        if fields.get("staleRead") == "1":
            source = self._stale_items()
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(
            key for key in source if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._item(key, *source[key]) for key in keys][
                :_PAGE_ITEMS
            ],
            "hasMore": len(keys) > _PAGE_ITEMS,
            "atRev": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after = int(fields["after"])
        end_s = time.monotonic() + int(fields["waitMs"]) / 1000
        while self.oldest <= after == self.revision:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        if not self.oldest <= after <= self.revision:
            return 410, {"error": "history"}
        events = [
            {"key": key, "revision": revision, "compacted": True}
            if value is None
            else self._item(key, revision, value)
            for revision, key, value in self.events
            if revision > after
        ]
        return 200, {"events": events, "atRev": self.revision}
