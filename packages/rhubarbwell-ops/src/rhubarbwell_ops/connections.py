"""Connections to the platform and TLS settings for operator endpoints."""

import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import aiohttp
from rhubarbwell_platform import ClientOptions, Platform, http_platform
from rhubarbwell_platform.errors import UnavailableError

__all__ = ["CA_ENV_VAR", "PLATFORM_ENV_VAR", "open_platform", "operator_tls_context"]

PLATFORM_ENV_VAR = "RHUBARBWELL_PLATFORM"
CA_ENV_VAR = "RHUBARBWELL_CA"
CLIENT_OPTIONS = ClientOptions(max_tries=4, failures_to_open=100)


def operator_tls_context() -> ssl.SSLContext | None:
    """Return the TLS context for operator endpoints, None for plain HTTP.

    Raises UnavailableError if the file in RHUBARBWELL_CA cannot be read.
    """
    path = os.environ.get(CA_ENV_VAR)
    if not path:
        return None
    try:
        return ssl.create_default_context(cafile=path)
    except OSError as exc:
        raise UnavailableError(f"{CA_ENV_VAR}: {path}: {exc}") from exc


@asynccontextmanager
async def open_platform(url: str) -> AsyncIterator[Platform]:
    """Yield the platform at a URL, by default that in RHUBARBWELL_PLATFORM.

    Raises UnavailableError if there is none or it is not an http or https URL.
    """
    url = url or os.environ.get(PLATFORM_ENV_VAR, "")
    if not url.startswith(("http://", "https://")):
        raise UnavailableError(
            f"give --platform or set {PLATFORM_ENV_VAR} to the platform's http URL"
        )
    async with aiohttp.ClientSession() as session:
        yield http_platform(session, url, Random(), options=CLIENT_OPTIONS)
