"""The requests that an instance is serving."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses

from mallowloft.kernel import logs
from mallowloft.routes import model
from mallowloft.routes import running

_log = logs.get_logger("routes")


@dataclasses.dataclass(eq=False, slots=True)
class OpenRequest:
    """A request of a caller or another instance without an answer.

    Attributes:
        id: The caller's id of the request.
        started_s: Loop time at which its head was read.
        task: What serves it; None while its body is read.
    """

    id: bytes
    started_s: float
    task: running.RequestTask | None = None
    _body_timeout: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def reading(self, end_s: float | None = None) -> AsyncIterator[None]:
        """Returns a context in which the body is read.

        Args:
            end_s: Loop time at which the whole body must have arrived; None if
                there is no body.

        Raises:
            TimeoutError: The body was late, or the request was ended meanwhile.
        """
        try:
            async with asyncio.timeout_at(end_s) as self._body_timeout:
                yield
        finally:
            self._body_timeout = None

    def end(self) -> None:
        """Ends what is awaited, so that the request is answered at once."""
        if self.task is not None:
            self.task.expire()
        elif self._body_timeout is not None:
            self._body_timeout.reschedule(asyncio.get_running_loop().time())


class OpenRequests:
    """The open requests of an instance."""

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._requests))

    def end_all(self) -> None:
        """Ends all requests, so that they are answered at once."""
        for request in self:
            try:
                request.end()
            except Exception:  # noqa: BLE001
                _log.exception(
                    "request_failed", request=request.id.decode("latin1")
                )
                if not request.task.done.done():
                    request.task.done.set_result(model.failure(500, "internal"))

    @contextlib.contextmanager
    def track(
        self,
        request_id: bytes,
        started_s: float,
        task: running.RequestTask | None = None,
    ) -> Iterator[OpenRequest]:
        """Adds a request until the end of the context.

        Args:
            request_id: The caller's id of the request.
            started_s: Loop time at which its head was read.
            task: What serves it, if it is known.

        Yields:
            The request.
        """
        request = OpenRequest(request_id, started_s, task)
        self._requests.add(request)
        try:
            yield request
        finally:
            self._requests.discard(request)
