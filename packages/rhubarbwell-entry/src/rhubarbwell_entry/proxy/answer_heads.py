"""Tell heads of answers from other bytes that the parser takes for them."""

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp.http import RawResponseMessage

__all__ = ["InvalidHeadError", "is_answer_head"]

HTTP_MAJOR_VERSION = 1
FIRST_STATUS = 100
SWITCHING_PROTOCOLS = 101


class InvalidHeadError(aiohttp.ClientPayloadError):
    """Report bytes that are no head of an answer to a request of this client."""


def is_answer_head(message: "RawResponseMessage") -> bool:
    """Return True unless the version, or a status never asked for, rules that out.

    The parser takes any three digits for a status.
    """
    is_status = message.code >= FIRST_STATUS and message.code != SWITCHING_PROTOCOLS
    return is_status and message.version.major == HTTP_MAJOR_VERSION
