"""Stand-in for the platform's configuration service and instance list.

`/v1/...` is the platform's read-only interface, which mallowloft uses.
`/admin/...` lets tests and the demo publish documents and inject faults; it is
not part of the platform's interface.
"""

import argparse
import asyncio
import json
import signal
import sys
from typing import Any

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from standins import serving

_MAX_VALUE_BYTES = 1 << 20


class Platform:
    """The configuration service: documents, the instance list and call counts.

    Attributes:
        down: Whether all calls are answered with status 503.
        upstreams: The upstreams that `/v1/instances` returns.
        stale_revision: Highest revision that reads and watches return; None
            for the current revision. Documents that were written again later
            are absent, because only their newest entry is stored.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.entries_by_path: dict[str, dict[str, Any]] = {}
        self.instances: list[dict[str, Any]] = []
        self.upstreams: list[dict[str, Any]] = []
        self.calls_by_name: dict[str, int] = {}
        self.down = False
        self.stale_revision: int | None = None
        self._changed = asyncio.Event()
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/config", self._read),
                routing.Route("/v1/config/watch", self._watch),
                routing.Route("/v1/instances", self._instances),
                routing.Route(
                    "/admin/publish", self._publish, methods=["POST"]
                ),
                routing.Route("/admin/set", self._set, methods=["POST"]),
                routing.Route("/admin/calls", self._calls),
            ]
        )

    def publish(self, values_by_path: dict[str, Any]) -> int:
        """Stores documents at one new revision and returns that revision.

        A document whose value is None is a tombstone: it marks a deletion.
        """
        self.revision += 1
        for path, value in values_by_path.items():
            self.entries_by_path[path] = {
                "path": path,
                "revision": self.revision,
                "value": value,
            }
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _visible_entries(
        self, after: int = 0, prefix: str = "/"
    ) -> dict[str, Any]:
        limit = self.revision
        if self.stale_revision is not None:
            limit = min(limit, self.stale_revision)
        entries = [
            entry
            for entry in self.entries_by_path.values()
            if after < entry["revision"] <= limit
            and entry["path"].startswith(prefix)
        ]
        return {"revision": limit, "entries": entries}

    def _count_call(self, name: str) -> responses.Response | None:
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        if self.down:
            return responses.JSONResponse({"reason": "down"}, 503)
        return None

    async def _read(self, request: requests.Request) -> responses.Response:
        refusal = self._count_call("read")
        if refusal is not None:
            return refusal
        prefix = request.query_params.get("prefix", "/")
        return responses.JSONResponse(self._visible_entries(prefix=prefix))

    async def _watch(self, request: requests.Request) -> responses.Response:
        refusal = self._count_call("watch")
        if refusal is not None:
            return refusal
        after = int(request.query_params["after"])
        timeout_s = int(request.query_params["timeout_ms"]) / 1000
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not self._visible_entries(after)["entries"]:
            changed = self._changed
            remaining_s = end_s - loop.time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                break
            if self.down:
                return responses.JSONResponse({"reason": "down"}, 503)
        return responses.JSONResponse(self._visible_entries(after))

    async def _instances(self, request: requests.Request):
        del request
        refusal = self._count_call("instances")
        if refusal is not None:
            return refusal
        return responses.JSONResponse(
            {"instances": self.instances, "upstreams": self.upstreams}
        )

    async def _publish(self, request: requests.Request):
        body = await request.body()
        values = json.loads(body)
        for path, value in values.items():
            if len(json.dumps(value)) > _MAX_VALUE_BYTES:
                return responses.JSONResponse(
                    {"reason": f"{path} is larger than 1 MiB"}, 413
                )
        return responses.JSONResponse({"revision": self.publish(values)})

    async def _set(self, request: requests.Request) -> responses.Response:
        for name, value in json.loads(await request.body()).items():
            if name not in ("down", "stale_revision", "instances", "upstreams"):
                return responses.JSONResponse({"reason": name}, 400)
            setattr(self, name, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return responses.JSONResponse({})

    async def _calls(self, request: requests.Request) -> responses.Response:
        del request
        return responses.JSONResponse(self.calls_by_name)


async def _serve(port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await serving.start(Platform().app, port)
    print("ready", flush=True)
    await stop.wait()


def main() -> int:
    """Runs the platform stand-in until a signal arrives."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
