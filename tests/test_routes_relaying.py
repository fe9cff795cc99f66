"""Answers of a hub to other instances about the source of routes."""

import asyncio
import random

import msgspec
import result

from mallowloft.routes import following
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import mirror as mirror_lib
from mallowloft.routes import relaying
from tests.support import virtual


class _Listener:
    """Ignores all changes."""

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        """Does nothing."""

    def removed(self, key: str) -> None:
        """Does nothing."""

    def order_of(self, key: str, value: bytes) -> tuple[int, ...]:
        """Returns no order."""
        return ()


class _Source:
    """A source that loses its history after the only listing it answers."""

    def __init__(self) -> None:
        self._reads = 0

    async def read(self):
        self._reads += 1
        if self._reads > 1:
            await asyncio.sleep(60.0)
        item = mirror_lib.Item("a", 7, b"x")
        return result.Ok(mirror_lib.Batch((item,), 7))

    async def watch(self, after: tuple[int, int], wait_s: float):
        await asyncio.sleep(0.5)
        return result.Err(following.CallError.HISTORY_LOST)


async def _ask(
    relay: relaying.Relay, after: int, reader: int = 0
) -> tuple[int, bytes]:
    """Returns the status and body of the answer to a call."""
    messages = []

    async def receive():
        return {"type": "http.request", "body": b""}

    async def send(message):
        messages.append(message)

    query = f"after={after}&removals=-1&wait_ms=0&reader={reader}"
    scope = {"headers": [], "query_string": query.encode()}
    await relay.serve(scope, receive, send)
    return messages[0]["status"], messages[1]["body"]


class TestRelay:
    """A hub answers only while its copy of the source is current."""

    def _answers_at(self, *times_s: float) -> list[tuple[int, bytes]]:
        async def main():
            follower = following.Follower(
                _Source(), _Listener(), random.Random(1), 2.0
            )
            relay = relaying.Relay(follower, hubs_lib.Hubs("i1", "d1", 0.0))
            task = asyncio.create_task(follower.run())
            answers = []
            loop = asyncio.get_running_loop()
            for at_s in times_s:
                await asyncio.sleep(at_s - loop.time())
                answers.append(await _ask(relay, -1))
            task.cancel()
            return answers

        return virtual.run(main())

    def test_returns_the_complete_listing(self):
        ((status, body),) = self._answers_at(0.2)
        assert status == 200
        changes = msgspec.msgpack.decode(body, type=relaying.Changes)
        assert changes.revision == 7
        assert changes.items == (("a", 7, b"x"),)

    def test_refuses_while_the_source_is_listed_again(self):
        # Guards against instances that request the complete listing again and
        # again because the answer has no revision.
        ((status, body),) = self._answers_at(1.2)
        assert (status, body) == (503, b"source_lost")

    def test_refuses_after_the_source_stopped_answering(self):
        ((status, _),) = self._answers_at(9.0)
        assert status == 503

    def test_refuses_readers_if_its_changes_come_from_a_reader(self):
        # Guards against two readers that follow each other for good.
        async def main() -> list[int]:
            follower = following.Follower(
                _Source(), _Listener(), random.Random(1), 2.0
            )
            hubs = hubs_lib.Hubs("i1", "d1", 0.0)
            relay = relaying.Relay(follower, hubs, lambda: False)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.2)
            answers = [await _ask(relay, -1, reader) for reader in (0, 1)]
            task.cancel()
            return [status for status, _ in answers]

        assert virtual.run(main()) == [200, 503]

    def test_malformed_calls_are_refused(self):
        async def main():
            follower = following.Follower(
                _Source(), _Listener(), random.Random(1), 2.0
            )
            relay = relaying.Relay(follower, hubs_lib.Hubs("i1", "d1", 0.0))
            return (await _ask(relay, "x"))[0]

        assert virtual.run(main()) == 400
