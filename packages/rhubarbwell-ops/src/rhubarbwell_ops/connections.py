"""Connections of the commands to the platform."""

import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import aiohttp
from rhubarbwell_platform import ClientOptions, Platform, http_platform
from rhubarbwell_platform.errors import UnavailableError

__all__ = ["CA_VARIABLE", "PLATFORM_VARIABLE", "open_platform", "operators_tls"]

PLATFORM_VARIABLE = "RHUBARBWELL_PLATFORM"
CA_VARIABLE = "RHUBARBWELL_CA"
OPTIONS = ClientOptions(max_tries=4, failures_to_open=100)


def operators_tls() -> ssl.SSLContext | None:
    """Return the TLS context for instances' operators endpoints, None for plain HTTP.

    Raises UnavailableError if the environment's certificate file cannot be read.
    """
    path = os.environ.get(CA_VARIABLE)
    if not path:
        return None
    try:
        return ssl.create_default_context(cafile=path)
    except OSError as exc:
        raise UnavailableError(f"{CA_VARIABLE}: {path}: {exc}") from exc


@asynccontextmanager
async def open_platform(url: str) -> AsyncIterator[Platform]:
    """Connect to the platform at a URL, else at that of the environment.

    Raises UnavailableError without a URL.
    """
    url = url or os.environ.get(PLATFORM_VARIABLE, "")
    if not url.startswith(("http://", "https://")):
        raise UnavailableError(
            f"give --platform or set {PLATFORM_VARIABLE} to the platform's http URL"
        )
    async with aiohttp.ClientSession() as session:
        yield http_platform(session, url, Random(), options=OPTIONS)
