"""HTTP client of the operator endpoints of entry instances."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from rhubarbwell_ops.connections import operator_tls_context

__all__ = ["OperatorClient", "open_operator_client"]


class OperatorClient:
    """Fetch JSON from the operator endpoints of entry instances."""

    def __init__(self, session: aiohttp.ClientSession, scheme: str) -> None:
        self._session = session
        self._scheme = scheme

    async def get_json(self, address: str, path: str) -> object:
        """Return the JSON body that the instance at a host:port address serves.

        Raises aiohttp.ClientError, TimeoutError or ValueError.
        """
        url = f"{self._scheme}://{address}{path}"
        async with self._session.get(url, raise_for_status=True) as response:
            return await response.json()


@asynccontextmanager
async def open_operator_client(*, timeout_s: float) -> AsyncIterator[OperatorClient]:
    """Yield a client, which uses TLS if RHUBARBWELL_CA names a CA file.

    Raises UnavailableError if the file cannot be read.
    """
    tls_context = operator_tls_context()
    connector = aiohttp.TCPConnector(ssl=tls_context or True)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield OperatorClient(session, "https" if tls_context else "http")
