"""Check that the end of an answer's body can be recognized."""

import aiohttp
from aiohttp import hdrs

__all__ = ["has_framing"]

NO_BODY_STATUSES = frozenset({204, 304})


def has_framing(resp: aiohttp.ClientResponse) -> bool:
    """Return True if truncation of the answer's body can be detected."""
    if resp.method == hdrs.METH_HEAD or resp.status in NO_BODY_STATUSES:
        return True
    chunked = "chunked" in resp.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
    return chunked or hdrs.CONTENT_LENGTH in resp.headers
