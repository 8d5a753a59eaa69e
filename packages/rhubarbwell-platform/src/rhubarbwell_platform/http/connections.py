"""Open HTTP connections within a time limit that looks at the sockets first."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from rhubarbwell_platform.http.timeouts import SocketTimeout

__all__ = ["PolledConnector", "open_session"]

UNLIMITED = aiohttp.ClientTimeout()


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


def open_session() -> aiohttp.ClientSession:
    """Return a session whose timeouts for connecting poll the sockets first."""
    return aiohttp.ClientSession(connector=PolledConnector())
