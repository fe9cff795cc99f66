"""A simulated cluster of instances on virtual time."""

import asyncio
from collections.abc import Coroutine
import hashlib
import random
from typing import Any

import result

from mallowloft import messages
from mallowloft.configuration import platform as platform_lib
from mallowloft.gather import model as gather_model
from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib
from tests.support import network as network_lib
from tests.support import upstreams as upstreams_lib
from tests.support import virtual

_PLUGINS = ("configuration", "membership", "dispatch", "gather", "submissions")


class FakePlatform:
    """The platform services, as reachable from one instance."""

    def __init__(self, world: "World", instance: str) -> None:
        self._world = world
        self._instance = instance

    async def read(self, prefix: str):
        return await self._read_documents("read", 0, prefix)

    async def watch(self, after: int, timeout_s: float):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        answer = await self._read_documents("watch", after, "/")
        while (
            answer.is_ok()
            and not answer.unwrap().documents
            and loop.time() < deadline_s
        ):
            await asyncio.sleep(self._world.watch_poll_s)
            if self._unreachable():
                return result.Err("cut")
            answer = self._world.visible_documents(after, "/")
        return answer

    async def instances(self):
        await asyncio.sleep(0.002)
        self._world.record_call("instances")
        if self._unreachable():
            return result.Err("cut")
        return result.Ok(self._world.instance_list)

    async def close(self) -> None:
        pass

    def _unreachable(self) -> bool:
        world = self._world
        return world.platform_down or self._instance in world.platform_cut

    async def _read_documents(self, name: str, after: int, prefix: str):
        await asyncio.sleep(0.002)
        self._world.record_call(name)
        if self._unreachable():
            return result.Err("cut")
        return self._world.visible_documents(after, prefix)


class World:
    """A simulated cluster: instances with real plug-ins, and fakes.

    The network between instances, the platform and the upstreams are fakes.

    Attributes:
        replicas_by_id: Fake replicas of all services.
        kernels_by_id: Instances that were built, also frozen and killed ones.
        documents_by_path: Newest version of each published document.
        revision: Newest revision of the configuration.
        stale_revision: If set, the platform does not return newer revisions.
        platform_down: Whether all calls to the platform fail.
        platform_cut: Instances whose calls to the platform fail.
        calls_by_name: Number of calls to the platform.
        call_times_s: Times of all calls to the platform.
        watch_poll_s: Interval at which a pending watch checks for changes.
        instance_list: Instances that the platform lists.

    Args:
        seed: Seed of all random numbers.
        cross_domain_latency_s: One-way network latency between failure domains.
        upstream_one_way_s: One-way network latency to upstreams.
    """

    def __init__(
        self,
        seed: int = 1,
        cross_domain_latency_s: float = 0.0015,
        upstream_one_way_s: float = 0.0002,
    ) -> None:
        registry.load_query_plugins()
        self.rng = random.Random(seed)
        self.network = network_lib.Network(
            random.Random(seed + 1), cross_domain_latency_s
        )
        self.replicas_by_id: dict[str, upstreams_lib.FakeReplica] = {}
        self.kernels_by_id: dict[str, lifecycle.Kernel] = {}
        self.documents_by_path: dict[str, messages.Document] = {}
        self.revision = 0
        self.stale_revision: int | None = None
        self.platform_down = False
        self.platform_cut: set[str] = set()
        self.calls_by_name: dict[str, int] = {}
        self.watch_poll_s = 0.01
        self.call_times_s: list[float] = []
        self.instance_list = platform_lib.InstanceList((), {})
        self._upstream_one_way_s = upstream_one_way_s
        self._frozen_processes: set[str] = set()
        self._killed_processes: set[str] = set()
        self._incarnations = iter(range(1, 1_000_000))

    def record_call(self, name: str) -> None:
        """Records a call to the platform."""
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        self.call_times_s.append(asyncio.get_running_loop().time())

    def visible_documents(self, after: int, prefix: str):
        """Returns the documents that the configuration service provides.

        Args:
            after: Only documents with a higher revision are returned.
            prefix: Prefix of the paths.
        """
        limit = self.revision
        if self.stale_revision is not None:
            limit = min(limit, self.stale_revision)
        documents = tuple(
            document
            for document in self.documents_by_path.values()
            if after < document.revision <= limit
            and document.path.startswith(prefix)
        )
        return result.Ok(platform_lib.Entries(limit, documents))

    def publish(self, values_by_path: dict[str, Any]) -> int:
        """Publishes documents at a new revision and returns the revision."""
        self.revision += 1
        for path, value in values_by_path.items():
            self.documents_by_path[path] = messages.Document(
                path, self.revision, value
            )
        return self.revision

    def publish_service(
        self,
        name: str,
        replicas: dict[str, str],
        slots: int = 2,
        connections: int = 25,
        index: str = "main",
        **replica_options: Any,
    ) -> None:
        """Creates the fake replicas of a service and publishes it.

        Args:
            name: Name of the service.
            replicas: Failure domain by replica id.
            slots: Slots of each replica.
            connections: Connection limit of each replica.
            index: Index of the service.
            **replica_options: Passed to `FakeReplica`.
        """
        for replica in replicas:
            self.replicas_by_id[replica] = upstreams_lib.FakeReplica(
                replica,
                random.Random(self.rng.random()),
                slots,
                connections,
                **replica_options,
            )
        self.publish(
            {
                f"/operator/services/{name}": {
                    "index": index,
                    "replicas": [
                        {
                            "id": replica,
                            "url": f"http://{replica}",
                            "failure_domain": domain,
                            "slots": slots,
                            "connections": connections,
                        }
                        for replica, domain in replicas.items()
                    ],
                }
            }
        )

    def publish_team(self, name: str, priority: str, **query: Any) -> None:
        """Publishes a team whose token is its name.

        Args:
            name: Name of the team.
            priority: Priority class of the team.
            **query: Query settings of the team.
        """
        self.publish(
            {
                f"/operator/teams/{name}": {
                    "credential_sha256": hashlib.sha256(
                        name.encode()
                    ).hexdigest(),
                    "priority": priority,
                }
            }
        )
        if query:
            self.publish({f"/teams/{name}/query": query})

    def kernel(
        self, instance: str, failure_domain: str, **settings: Any
    ) -> lifecycle.Kernel:
        """Builds an instance without starting it."""
        kernel = lifecycle.Kernel(
            settings_lib.Settings(
                instance_id=instance, failure_domain=failure_domain, **settings
            ),
            clock=clock_lib.LoopClock(),
            rng=random.Random(self.rng.random()),
            incarnation=next(self._incarnations),
        )
        kernel.plugins_by_name["peers"] = network_lib.FakePeers(
            kernel, self.network
        )
        kernel.plugins_by_name["upstream"] = upstreams_lib.FakeUpstreams(
            self.replicas_by_id, self._upstream_one_way_s
        )
        kernel.build_plugins(_PLUGINS)
        kernel.plugin("configuration").platform = FakePlatform(self, instance)
        self.kernels_by_id[instance] = kernel
        return kernel

    def publish_instances(self, *leaving: str) -> None:
        """Updates the platform's list to all instances that were built.

        Args:
            *leaving: Instances that are listed as leaving.
        """
        self.instance_list = platform_lib.InstanceList(
            tuple(
                platform_lib.ListedInstance(
                    name,
                    kernel.settings.failure_domain,
                    f"tcp://{name}",
                    "leaving" if name in leaving else "live",
                )
                for name, kernel in self.kernels_by_id.items()
            ),
            self.instance_list.upstream_states,
        )

    async def start_instance(self, instance: str, domain: str) -> None:
        """Builds, lists and starts an instance without awaiting readiness."""
        kernel = self.kernel(instance, domain)
        self.publish_instances()
        await self.run_at(instance, kernel.start())

    async def start(
        self, domains_by_instance: dict[str, str], **settings: Any
    ) -> None:
        """Builds, lists and starts instances and waits until all are ready."""
        kernels = [
            self.kernel(instance, domain, **settings)
            for instance, domain in domains_by_instance.items()
        ]
        self.publish_instances()
        for kernel in kernels:
            await self.run_at(kernel.settings.instance_id, kernel.start())
        async with asyncio.timeout(30):
            while not all(kernel.ready() for kernel in kernels):
                await asyncio.sleep(0.01)

    async def run_at(
        self, instance: str, coroutine: Coroutine[Any, Any, Any]
    ) -> Any:
        """Runs a coroutine in the process of an instance.

        The coroutine stops with the process when the instance is frozen or
        killed. Cancelling the caller does not cancel the coroutine, because a
        process that is not running cannot be notified.
        """
        return await asyncio.shield(self.spawn(instance, coroutine))

    def spawn(
        self, instance: str, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task:
        """Starts a task in the process of an instance."""
        context = virtual.context_of(self._process_of(instance))
        return asyncio.create_task(coroutine, context=context)

    def kill(self, instance: str) -> None:
        """Kills an instance. Upstreams still process the calls it sent."""
        self.kernels_by_id[instance].plugin("peers").kill()
        self.freeze(instance)
        self._killed_processes.add(self._process_of(instance))

    def freeze(self, instance: str) -> None:
        """Freezes an instance like SIGSTOP. Its sockets still receive data."""
        self._frozen_processes.add(self._process_of(instance))
        asyncio.get_running_loop().freeze(self._process_of(instance))

    def thaw(self, instance: str) -> None:
        """Resumes a frozen instance. Does nothing if it was killed."""
        process = self._process_of(instance)
        if process not in self._killed_processes:
            self._frozen_processes.discard(process)
            asyncio.get_running_loop().thaw(process)

    def running(self, instance: str) -> bool:
        """Whether an instance is neither frozen nor killed."""
        return self._process_of(instance) not in self._frozen_processes

    def _process_of(self, instance: str) -> str:
        return self.kernels_by_id[instance].plugin("peers").process

    async def query(
        self,
        instance: str,
        team: str,
        target: str,
        deadline_ms: float = 1000.0,
        min_coverage: float = 0.0,
        prefer: str = "time",
        body: bytes = b"{}",
    ):
        """Sends a query to an instance and returns the result."""
        kernel = self.kernels_by_id[instance]
        snapshot = kernel.plugin("configuration").store.current
        query = gather_model.Query(
            request_id=f"q-{self.rng.getrandbits(48):x}",
            team=team,
            snapshot=snapshot,
            target=target,
            rank=snapshot.rank_of(team),
            body=body,
            deadline_ms=deadline_ms,
            min_coverage=min_coverage,
            prefer=prefer,
        )
        return await self.run_at(instance, kernel.plugin("gather").run(query))
