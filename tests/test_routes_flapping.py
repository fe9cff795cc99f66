"""Reachability while replicas answer late and connections are up."""

import asyncio
import dataclasses
import random
import types

import pytest

from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import isolation
from mallowloft.routes import model
from mallowloft.routes import single
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib
from tests.support import virtual

_DOMAIN = "d1"
_SERVICES = tuple(f"s{number}" for number in range(26))
# Start of the fault, and end if it has one.
_FAULT_S = 2.0
_HEALED_S = 8.0
_END_S = 12.0
_REQUEST_INTERVAL_S = 0.01


@dataclasses.dataclass
class _Record:
    """What one instance decided.

    Attributes:
        states: Loop time, unreachable domains and whether the links are lost,
            for each check that changed one of them.
        renewals: Number of renewed pools.
        statuses: Statuses of the answers.
    """

    states: list[tuple[float, frozenset[str], bool]]
    renewals: int
    statuses: list[int]


def _route(service: str) -> model.Route:
    return replicas_lib.route(
        targets=(model.Target(service, 1.0),),
        timeout_s=3.0,
        objective_s=0.3,
    )


def _create_replicas(
    rng: random.Random, **fields: object
) -> list[replicas_lib.Replica]:
    return [
        replicas_lib.Replica(
            f"{service}-{copy}",
            service,
            replicas_lib.DOMAINS[(number + copy) % 3],
            rng,
            lambda rng: 0.005 + 0.01 * rng.random(),
            slots=64,
            **fields,
        )
        for number, service in enumerate(_SERVICES)
        for copy in range(2)
    ]


def _run(
    replicas: list[replicas_lib.Replica],
    rng: random.Random,
    end_s: float = _END_S,
) -> _Record:
    """Serves requests at one instance and checks its reachability."""

    async def main() -> _Record:
        loop = asyncio.get_running_loop()
        instance = replicas_lib.Instance(_DOMAIN, replicas, rng)
        directory = instance.directory
        directory.set_services(_SERVICES, {})
        hubs = hubs_lib.Hubs("a", _DOMAIN, 10.0)
        fleet = types.SimpleNamespace(
            hubs=hubs, mount=lambda path, application: None
        )
        monitor = isolation.IsolationMonitor(
            types.SimpleNamespace(directory=directory, table=None),
            types.SimpleNamespace(
                settings=types.SimpleNamespace(failure_domain=_DOMAIN),
                plugin=lambda _: fleet,
            ),
            lambda: None,
        )
        states = []

        def note() -> None:
            state = (
                directory.reach.unreachable_domains(),
                directory.reach.links_lost,
            )
            if state != (states[-1][1:] if states else (frozenset(), False)):
                states.append((loop.time(), *state))

        monitor._on_check = note
        monitor.start()
        tasks = []
        while loop.time() < end_s:
            route = _route(rng.choice(_SERVICES))
            tasks.append(asyncio.create_task(instance.serve(route)))
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        answers = await asyncio.gather(*tasks)
        monitor.stop()
        return _Record(
            states,
            sum(item.pool.renewals for item in directory.used_entries()),
            [answer.status for answer in answers],
        )

    return virtual.run(main())


def _run_late(domains, acknowledged, rng: random.Random) -> _Record:
    """Serves requests while replicas answer after 0.3 to 0.9 s."""
    replicas = _create_replicas(rng, acknowledged=lambda now_s: acknowledged)
    for replica in replicas:
        if replica.domain in domains:
            replica.slowdown = lambda now_s: 60.0 if now_s > _FAULT_S else 1.0
    return _run(replicas, rng)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("domains", [("d1",), replicas_lib.DOMAINS])
class TestLateReplies:
    """Replies that arrive late show that the links are not lost."""

    def test_late_replies_do_not_change_reachability(self, domains, seed):
        record = _run_late(domains, True, random.Random(seed))
        assert record.states == []
        assert record.renewals == 0
        assert set(record.statuses) == {200}

    def test_reachability_does_not_flap_if_acknowledgements_are_unknown(
        self, domains, seed
    ):
        # Guards against a change at each check, and against new connections to
        # all replicas at each change.
        record = _run_late(domains, None, random.Random(seed))
        assert len(record.states) <= 4
        assert record.renewals <= 12
        assert set(record.statuses) == {200}


class TestCutLinks:
    """Links that are lost are noticed, and used again once they are back."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("domains", [("d2",), replicas_lib.DOMAINS])
    @pytest.mark.parametrize(
        ("acknowledged", "max_delay_s"),
        [(None, 1.0), (False, 1.0), (True, 1.6)],
    )
    def test_cut_is_noticed_and_its_end_too(
        self, domains, acknowledged, max_delay_s, seed
    ):
        rng = random.Random(seed)
        replicas = _create_replicas(
            rng,
            acknowledged=lambda now_s: (
                acknowledged if _FAULT_S < now_s < _HEALED_S else True
            ),
        )
        for replica in replicas:
            if replica.domain in domains:
                replica.unresponsive = lambda now_s: (
                    _FAULT_S < now_s < _HEALED_S
                )
        record = _run(replicas, rng)
        noticed_s = [
            at_s
            for at_s, lost, links_lost in record.states
            if lost == set(domains) and links_lost == (len(domains) > 1)
        ]
        assert noticed_s[0] - _FAULT_S < max_delay_s
        last_s, lost, links_lost = record.states[-1]
        assert (lost, links_lost) == (frozenset(), False)
        assert last_s - _HEALED_S < 1.0


class TestConnections:
    """What failed connection attempts and waiting requests show."""

    def _run_with_instance(self, test) -> None:
        async def main() -> None:
            rng = random.Random(1)
            replicas = _create_replicas(rng)
            instance = replicas_lib.Instance(_DOMAIN, replicas, rng)
            instance.directory.set_services(_SERVICES, {})
            entries = [
                entry
                for entry in instance.directory.used_entries()
                if entry.replica.failure_domain == _DOMAIN
            ]
            await test(instance, entries)

        virtual.run(main())

    async def _fail_to_connect(self, entries) -> None:
        for entry in entries:
            entry.pool.open_count = 0
        for _ in range(10):
            for entry in entries:
                entry.pool.on_event(http1.CONNECT_FAILED)
            await asyncio.sleep(0.5)

    def test_some_replicas_that_refuse_are_no_lost_domain(self):
        # Guards against a domain, and links, that count as lost without
        # requests although most replicas are connected.
        async def test(instance, entries):
            await self._fail_to_connect(entries[:8])
            assert len(entries) > 16
            assert not instance.directory.reach.unreachable_domains()
            assert not instance.directory.reach.links_lost

        self._run_with_instance(test)

    def test_domain_without_connections_is_lost(self):
        async def test(instance, entries):
            await self._fail_to_connect(entries)
            lost = instance.directory.reach.unreachable_domains()
            assert lost == {_DOMAIN}

        self._run_with_instance(test)

    def test_requests_that_wait_for_a_connection_are_no_evidence(self):
        # Guards against a loss of links that the replacement of connections
        # itself brings about.
        async def test(instance, entries):
            for entry in instance.directory.used_entries():
                entry.pool.open_count = 0
                entry.pool.submit = lambda exchange: None
            for _ in range(20):
                await instance.serve(_route("s0"))
            assert not instance.directory.reach.unreachable_domains()
            assert not instance.directory.reach.links_lost

        self._run_with_instance(test)

    def test_connections_are_replaced_a_few_at_a_time(self):
        async def test(instance, entries):
            directory = instance.directory
            for number in range(10):
                for entry in entries:
                    directory.reach.direct_failed(
                        _DOMAIN, 0.1 * number, entry.replica.id
                    )
            counts = []
            for _ in range(20):
                directory.reconnect({_DOMAIN})
                await asyncio.sleep(0.25)
                counts.append(sum(entry.pool.renewals for entry in entries))
            assert counts[0] == 3
            assert max(entry.pool.renewals for entry in entries) == 1
            assert counts[-1] == len(entries)

        self._run_with_instance(test)

    @pytest.mark.parametrize("leaves", [True, False])
    def test_late_attempt_is_listened_to_only_for_a_caller_that_stays(
        self, leaves
    ):
        # Guards against work at replicas for callers that have left.
        async def test(instance, entries):
            for replica in entries:
                instance.directory.reach.direct_failed(
                    _DOMAIN, 0.0, replica.replica.id
                )
            for entry in instance.directory.used_entries():
                entry.pool.submit = lambda exchange, pool=entry.pool: setattr(
                    exchange, "connection", pool
                )
            task = single.Forwarding(
                instance, instance.create_request_context(_route("s0")), "s0"
            )
            task.start()
            (attempt,) = task._attempts()
            await asyncio.sleep(0.01)
            if leaves:
                task.cancel()
            else:
                task._finish(model.refusal("test", 0.0))
            await asyncio.sleep(0.5)
            assert attempt.exchange.done == leaves
            await asyncio.sleep(1.5)
            assert attempt.exchange.done

        self._run_with_instance(test)
