"""Processor time per part of a gathered request, over real sockets.

The figure has no bound; run it before and after a change and compare.
"""

import argparse
import asyncio
import cProfile
import multiprocessing
import pstats
import random
import time

import httptools

from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection

_SHARDS = 90
_REQUESTS = 200
_HEADER_NAMES = model.HeaderNames()
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Signature: abc.def.1\r\n"
    b"X-Load: 1,0,2\r\nKeep-Alive: timeout=10\r\nX-Request-Id: %s\r\n\r\n"
    + b"r"
    * 400
)


class _Replica(asyncio.Protocol):
    def connection_made(self, transport) -> None:
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.current_id = b""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == _HEADER_NAMES.request_id:
            self.current_id = value

    def on_message_complete(self) -> None:
        self.transport.write(_RESPONSE % self.current_id)


def _serve(pipe) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_Replica, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())


class _Context:
    names = _HEADER_NAMES

    def __init__(self, port: int) -> None:
        rng = random.Random(1)
        self.directory = directory_lib.Directory(
            "i1", "d1", lambda event: None, reach.DomainReachability()
        )
        self.selector = selection.Selector(rng)
        self.sender = attempts_lib.Sender(
            _HEADER_NAMES, metrics_lib.Metrics(), self.directory.reach
        )
        limit = limits.ExtraAttemptLimit.for_instance(0.2, 54, 10.0, 7)
        self._extra = limits.ExtraAttemptBucket(limit, 0.0)
        self.shards = tuple(f"s{number}" for number in range(_SHARDS))
        for number, shard in enumerate(self.shards):
            for copy in range(3):
                self.directory.put(
                    model.Replica(
                        f"r{number}-{copy}",
                        shard,
                        "127.0.0.1",
                        port,
                        f"d{copy}",
                        2,
                    )
                )
        self.directory.set_services(self.shards, {})

    def extra_attempts(self, service: str) -> limits.ExtraAttemptBucket:
        del service
        return self._extra


async def _measure(port: int, profile: cProfile.Profile | None) -> None:
    context = _Context(port)
    route = model.Route(
        name="r",
        host="h",
        prefix="/",
        idempotent=True,
        timeout_s=5.0,
        objective_s=5.0,
        max_attempts=2,
        shards=context.shards,
        top_records=20,
        min_coverage=0.9,
    )
    latency = limits.RouteLatency(route.objective_s)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(0.5)
    started_s = time.process_time()
    if profile is not None:
        profile.enable()
    for number in range(_REQUESTS):
        now_s = loop.time()
        request = model.Request(
            b"%d" % number,
            b"GET",
            b"/a/b",
            (
                (b"host", b"h.example"),
                (_HEADER_NAMES.request_id, b"%d" % number),
            ),
            b"",
            now_s,
            now_s + 5,
        )
        outgoing = attempts_lib.OutgoingRequest(request, 0, _HEADER_NAMES)
        request_context = running.RequestContext(
            route, outgoing, latency, now_s, 0.0, now_s + 5
        )
        operation = gathering.ScatterGather(context, request_context)
        operation.start()
        answer = await operation.done
        assert answer.status == 200, answer
    if profile is not None:
        profile.disable()
    used_s = time.process_time() - started_s
    per_part_us = used_s / _REQUESTS / _SHARDS * 1e6
    print(f"processor time per part: {per_part_us:.0f} us")
    context.directory.close()


def main() -> None:
    """Prints the processor time per part, and a profile with --profile."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    logs.configure("warning", "bench")
    receiver, sender = multiprocessing.Pipe()
    server = multiprocessing.Process(target=_serve, args=(sender,))
    server.start()
    profile = cProfile.Profile() if arguments.profile else None
    try:
        asyncio.run(_measure(receiver.recv(), profile))
    finally:
        server.terminate()
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(28)


if __name__ == "__main__":
    main()
