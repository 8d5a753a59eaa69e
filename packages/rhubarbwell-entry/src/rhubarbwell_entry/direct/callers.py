"""HTTP server whose idle timeout follows the configuration."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

__all__ = ["CallerServer", "Handler"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Limits the request line and each header field.
MAX_HEADER_BYTES = 64 << 10


class CallerServer(web.Server):
    """Serve HTTP; a connection keeps the idle timeout in force when it was opened."""

    def __init__(self, handle: Handler, idle_timeout_s: Callable[[], float]) -> None:
        super().__init__(handle, handler_cancellation=True)
        self._idle_timeout_s = idle_timeout_s

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": self._idle_timeout_s(),
            "max_line_size": MAX_HEADER_BYTES,
            "max_field_size": MAX_HEADER_BYTES,
            "lingering_time": 0.0,
        }
        return web.RequestHandler(self, loop=self._loop, **options)
