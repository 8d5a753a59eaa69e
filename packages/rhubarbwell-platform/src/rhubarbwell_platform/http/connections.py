"""Open HTTP connections within a time limit that looks at the sockets first."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from rhubarbwell_platform.http.timeouts import SocketTimeout

__all__ = ["LimitedResponse", "PolledConnector", "open_session"]

UNLIMITED = aiohttp.ClientTimeout()
# Far above the tables of the largest deployments.
MAX_RESPONSE_BYTES = 8 << 20


class PolledConnector(aiohttp.TCPConnector):
    """Use a connection that stands when the event loop comes late for its timeout.

    sock_connect of ClientTimeout limits the time to open a connection, as usual.
    """

    # aiohttp has no parameter for what enforces this timeout.
    async def _wrap_create_connection(
        self, *args: Any, timeout: aiohttp.ClientTimeout, **kwargs: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        async with SocketTimeout(timeout.sock_connect or None):
            return await super()._wrap_create_connection(
                *args, timeout=UNLIMITED, **kwargs
            )


class LimitedResponse(aiohttp.ClientResponse):
    """Read a body only up to MAX_RESPONSE_BYTES."""

    async def read(self) -> bytes:
        """Return the body; raise ClientPayloadError if it exceeds the limit."""
        if self._body is None:
            body = bytearray()
            try:
                async for block in self.content.iter_any():
                    if len(body) + len(block) > MAX_RESPONSE_BYTES:
                        raise aiohttp.ClientPayloadError(
                            f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                        )
                    body += block
                self._body = bytes(body)
            except BaseException:
                self.close()
                raise
            finally:
                body.clear()
        return await super().read()


def open_session() -> aiohttp.ClientSession:
    """Return a session that polls the sockets at timeouts and limits responses."""
    return aiohttp.ClientSession(
        connector=PolledConnector(), response_class=LimitedResponse
    )
