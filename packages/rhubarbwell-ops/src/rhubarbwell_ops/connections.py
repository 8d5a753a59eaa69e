"""Connections of the commands to the platform."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import aiohttp
from rhubarbwell_platform import ClientOptions, Platform, http_platform
from rhubarbwell_platform.errors import UnavailableError

__all__ = ["PLATFORM_VARIABLE", "open_platform"]

PLATFORM_VARIABLE = "RHUBARBWELL_PLATFORM"
OPTIONS = ClientOptions(max_tries=4, failures_to_open=100)


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
