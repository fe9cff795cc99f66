"""Measures cost by size and prints the slopes, the cost per unit of size.

docs/CAPACITY.md uses the slopes. Processor times depend on the machine, so they
have no bounds. Each slope is a least-squares fit over at least three sizes. The
last column is the largest relative deviation of a point from the line; it shows
whether a line fits.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import sys
import time
import tracemalloc

import msgspec
import zmq

from mallowloft import messages
from mallowloft.configuration import acceptance
from mallowloft.configuration import store as store_lib
from mallowloft.kernel import registry
from mallowloft.membership import view as view_lib

_REPEATS = 5

slopes: registry.Registry[Callable[[], "Slope"]] = registry.Registry("slope")


@dataclasses.dataclass(frozen=True)
class Slope:
    """Cost as a function of size.

    Attributes:
        size_name: What the size counts.
        unit: Unit of the cost.
        cost_by_size: The measured points.
    """

    size_name: str
    unit: str
    cost_by_size: dict[float, float]

    def fit(self) -> tuple[float, float, float]:
        """Returns slope, intercept and largest relative deviation."""
        sizes = list(self.cost_by_size)
        costs = list(self.cost_by_size.values())
        mean_size = sum(sizes) / len(sizes)
        mean_cost = sum(costs) / len(costs)
        covariance = sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in self.cost_by_size.items()
        )
        variance = sum((size - mean_size) ** 2 for size in sizes)
        slope = covariance / variance
        intercept = mean_cost - slope * mean_size
        deviation = max(
            abs(intercept + slope * size - cost) / max(abs(cost), 1e-12)
            for size, cost in self.cost_by_size.items()
        )
        return slope, intercept, deviation


def _cpu_us(function: Callable[[], object], calls: int) -> float:
    """Returns the lowest processor time per call of all repeats, in us."""
    best = float("inf")
    for _ in range(_REPEATS):
        started_s = time.process_time()
        for _ in range(calls):
            function()
        best = min(best, time.process_time() - started_s)
    return best / calls * 1e6


def _sub_request(number: int) -> messages.SubRequest:
    return messages.SubRequest(
        attempt=number,
        request="0123456789abcdef",
        service="checker-01",
        replica=f"checker-01-{number % 2}",
        shards=("s1",),
        index_version=7,
        rank=0,
        remaining_ms=250.0,
        hedge=False,
        query=b'{"hint": 7}',
    )


def _envelope(count: int) -> messages.Envelope:
    batch = tuple(_sub_request(number) for number in range(count))
    return messages.Envelope(
        messages.PROTOCOL_VERSION, "i1", 1, "tcp://127.0.0.1:1", 2, batch
    )


def _codec_slope(operation) -> Slope:
    points = {}
    for count in (1, 16, 64, 256):
        points[count] = _cpu_us(operation(_envelope(count)), 2000 // count + 20)
    return Slope("sub-requests per frame", "us", points)


@slopes.register("codec.encode")
def _encode() -> Slope:
    return _codec_slope(lambda envelope: lambda: messages.encode(envelope))


@slopes.register("codec.decode")
def _decode() -> Slope:
    def operation(envelope):
        frame = messages.encode(envelope)
        return lambda: messages.decode(frame)

    return _codec_slope(operation)


# The fields of `SubRequest` in a data class, as a baseline.
_DataClassRequest = dataclasses.make_dataclass(
    "_DataClassRequest",
    [
        (field.name, field.type)
        for field in msgspec.structs.fields(messages.SubRequest)
    ],
    frozen=True,
)


def _data_class_batch(count: int):
    batch = [
        _DataClassRequest(**msgspec.structs.asdict(_sub_request(number)))
        for number in range(count)
    ]
    encoder = msgspec.msgpack.Encoder()
    return encoder, batch


@slopes.register("codec.encode_data_class")
def _encode_data_class() -> Slope:
    points = {}
    for count in (1, 16, 64, 256):
        encoder, batch = _data_class_batch(count)
        points[count] = _cpu_us(
            lambda encoder=encoder, batch=batch: encoder.encode(batch),
            2000 // count + 20,
        )
    return Slope("sub-requests per frame", "us", points)


@slopes.register("codec.decode_data_class")
def _decode_data_class() -> Slope:
    decoder = msgspec.msgpack.Decoder(list[_DataClassRequest])
    points = {}
    for count in (1, 16, 64, 256):
        encoder, batch = _data_class_batch(count)
        frame = encoder.encode(batch)
        points[count] = _cpu_us(
            lambda frame=frame: decoder.decode(frame), 2000 // count + 20
        )
    return Slope("sub-requests per frame", "us", points)


@slopes.register("codec.frame_bytes")
def _frame_bytes() -> Slope:
    return Slope(
        "sub-requests per frame",
        "bytes",
        {
            count: len(messages.encode(_envelope(count)))
            for count in (1, 16, 64, 256)
        },
    )


@slopes.register("transport.round_trip")
def _round_trip() -> Slope:
    """Processor time of both ends of a PUSH/PULL round trip on one thread."""
    points = {}
    for count in (1, 16, 64, 256):
        frame = messages.encode(_envelope(count))
        points[count] = asyncio.run(_transport_us(frame, 500))
    return Slope("sub-requests per frame", "us", points)


async def _transport_us(frame: bytes, round_trips: int) -> float:
    context = zmq.Context()
    receivers = [context.socket(zmq.PULL) for _ in range(2)]
    ports = [item.bind_to_random_port("tcp://127.0.0.1") for item in receivers]
    senders = [context.socket(zmq.PUSH) for _ in range(2)]
    for sender, port in zip(senders, ports, strict=True):
        sender.connect(f"tcp://127.0.0.1:{port}")
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    remaining = round_trips

    def receive_all(side: int) -> None:
        nonlocal remaining
        while True:
            try:
                received = receivers[side].recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            messages.decode(received)
            if side == 1:
                remaining -= 1
                if remaining == 0:
                    done.set_result(None)
                    return
            senders[1 - side].send(frame, zmq.NOBLOCK, copy=False)

    for side in range(2):
        fd = receivers[side].getsockopt(zmq.FD)
        loop.add_reader(fd, receive_all, side)
    await asyncio.sleep(0.1)
    started_s = time.process_time()
    senders[0].send(frame, copy=False)
    await done
    elapsed_s = time.process_time() - started_s
    for side in range(2):
        loop.remove_reader(receivers[side].getsockopt(zmq.FD))
    for socket in (*receivers, *senders):
        socket.close(0)
    context.term()
    return elapsed_s / round_trips * 1e6


def _view_of(members: int) -> view_lib.View:
    view = view_lib.View()
    for number in range(members):
        view.update(
            view_lib.Member(
                f"i{number}", "d1", f"tcp://{number}", 1, view_lib.LIVE
            )
        )
    return view


@slopes.register("membership.choose_dispatcher")
def _choose_dispatcher() -> Slope:
    """Cost of one uncached choice, by live members of a failure domain."""
    points = {}
    for members in (8, 54, 215):
        view = _view_of(members)
        replicas = iter(range(1_000_000))
        points[members] = _cpu_us(
            lambda view=view, replicas=replicas: view.dispatcher_for(
                f"replica-{next(replicas)}", "d1"
            ),
            200,
        )
    return Slope("members", "us", points)


def _subtrees(services: int) -> list[messages.ConfigSubtree]:
    subtrees = []
    for number in range(services):
        path = f"/operator/services/s{number}"
        value = {
            "index": "main",
            "replicas": [
                {
                    "id": f"s{number}-{copy}",
                    "url": f"http://10.0.0.1:{copy + 1}",
                    "failure_domain": "d1",
                }
                for copy in range(2)
            ],
        }
        document = messages.Document(path, 1, value)
        subtrees.append(
            messages.ConfigSubtree(acceptance.subtree_of(path), 1, (document,))
        )
    return subtrees


@slopes.register("configuration.memory")
def _configuration_memory() -> Slope:
    """Memory that the store adds to the documents of the configuration.

    By the number of services with two replicas.
    """
    points = {}
    for services in (100, 800, 3200):
        subtrees = _subtrees(services)
        tracemalloc.start()
        store = store_lib.Store()
        store.merge(subtrees)
        points[services] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    return Slope("services", "bytes", points)


@slopes.register("configuration.change")
def _configuration_change() -> Slope:
    """Cost of one change, by services in the accepted configuration."""
    points = {}
    for services in (100, 800, 3200):
        store = store_lib.Store()
        store.merge(_subtrees(services))
        revisions = iter(range(2, 1_000_000))

        def change(store=store, revisions=revisions) -> None:
            revision = next(revisions)
            document = messages.Document(
                "/teams/t1/query",
                revision,
                {"default_deadline_ms": 100.0 + revision},
            )
            store.merge(
                [messages.ConfigSubtree("/teams/t1", revision, (document,))]
            )

        points[services] = _cpu_us(change, 20)
    return Slope("services", "us", points)


def main() -> int:
    """Prints all slopes, or those given by name."""
    names = sys.argv[1:] or sorted(slopes.by_name)
    print(f"{'slope':34} {'per':24} {'slope':>12} {'at zero':>12} unit  fit")
    for name in names:
        slope = slopes.by_name[name]()
        slope_per_unit, intercept, deviation = slope.fit()
        print(
            f"{name:34} {slope.size_name:24} {slope_per_unit:12.4g}"
            f" {intercept:12.4g} {slope.unit:5} {deviation:.0%}"
        )
        points = ", ".join(
            f"{size:g}: {cost:.4g}" for size, cost in slope.cost_by_size.items()
        )
        print(f"    {points}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
