"""Connections to the operators' addresses of entry instances."""

import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from rhubarbwell_core.model import Address

__all__ = ["CA_VARIABLE", "OperatorClient", "host_port", "open_operators"]

CA_VARIABLE = "RHUBARBWELL_CA"


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
    """Open a client; RHUBARBWELL_CA names a PEM file of authorities to trust.

    Raises OSError for an unreadable file.
    """
    authority = os.environ.get(CA_VARIABLE, "")
    context = ssl.create_default_context(cafile=authority) if authority else None
    connector = aiohttp.TCPConnector(ssl=context or True)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield OperatorClient(session, "https" if authority else "http")


def host_port(address: Address) -> str:
    """Return the address as in a URL.

    >>> host_port(Address("::1", 80))
    '[::1]:80'
    """
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
