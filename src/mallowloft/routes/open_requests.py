"""The requests that an instance is serving."""

from collections.abc import Iterator
import contextlib
import dataclasses

from mallowloft.routes import running


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


class OpenRequests:
    """The open requests of an instance."""

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._requests))

    @contextlib.contextmanager
    def track(self, request_id: bytes, started_s: float):
        """Adds a request until the end of the context.

        Args:
            request_id: The caller's id of the request.
            started_s: Loop time at which its head was read.

        Yields:
            The request.
        """
        request = OpenRequest(request_id, started_s)
        self._requests.add(request)
        try:
            yield request
        finally:
            self._requests.discard(request)
