"""The framing of answers' bodies."""

import aiohttp
from aiohttp import hdrs

__all__ = ["has_framing"]

NO_BODY_STATUSES = frozenset({204, 304})


def has_framing(resp: aiohttp.ClientResponse) -> bool:
    """Tell whether a cut-short body would be noticed."""
    if resp.method == hdrs.METH_HEAD or resp.status in NO_BODY_STATUSES:
        return True
    chunked = "chunked" in resp.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
    return chunked or hdrs.CONTENT_LENGTH in resp.headers
