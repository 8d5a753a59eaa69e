"""Connections to the operators' addresses of entry instances."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from rhubarbwell_ops.connections import operators_tls

__all__ = ["OperatorClient", "open_operators"]


class OperatorClient:
    """Ask instances for JSON, over TLS where a certificate authority is given."""

    def __init__(self, session: aiohttp.ClientSession, scheme: str) -> None:
        self._session = session
        self._scheme = scheme

    async def ask(self, address: str, path: str) -> object:
        """Return the JSON answer of host:port.

        Raises aiohttp.ClientError, TimeoutError or ValueError.
        """
        url = f"{self._scheme}://{address}{path}"
        async with self._session.get(url, raise_for_status=True) as answer:
            return await answer.json()


@asynccontextmanager
async def open_operators(*, timeout_s: float) -> AsyncIterator[OperatorClient]:
    """Open a client, over TLS if RHUBARBWELL_CA names authorities to trust.

    Raises UnavailableError for an unreadable file.
    """
    tls = operators_tls()
    connector = aiohttp.TCPConnector(ssl=tls or True)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield OperatorClient(session, "https" if tls else "http")
