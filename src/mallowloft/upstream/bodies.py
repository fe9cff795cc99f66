"""Reads bodies of responses that aiohttp receives, within bounds."""

import aiohttp

from mallowloft.kernel import receiving as receiving_lib


class _Body:
    """A body in progress, which counts toward the process's bound."""

    def __init__(self) -> None:
        self._receiving = receiving_lib.of_running_loop()
        self._content = bytearray()
        self._failed = False

    def append(self, data: bytes) -> None:
        """Adds data.

        Raises:
            aiohttp.ClientPayloadError: The body is too large, or all hold too
                much and this one fails for it.
        """
        if not self._failed:
            self._content += data
            self._receiving.charge(self, len(self._content))
        max_bytes = self._receiving.limits.max_body_bytes
        if self._failed or len(self._content) > max_bytes:
            limit = "memory" if self._failed else "body"
            self._receiving.on_refused(limit)
            raise aiohttp.ClientPayloadError("body too large")

    def fail_for_memory(self) -> None:
        """Drops the body; see `receiving.Holder`."""
        self._failed = True
        self.release()

    def release(self) -> bytes:
        """Returns the body, which is not counted any more."""
        content = bytes(self._content)
        self._content = bytearray()
        self._receiving.charge(self, 0)
        return content


async def read(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body of a response.

    Raises:
        aiohttp.ClientPayloadError: It is too large, or incomplete.
    """
    body = _Body()
    try:
        async for data in response.content.iter_any():
            body.append(data)
        return body.release()
    except BaseException:
        body.release()
        response.close()
        raise
