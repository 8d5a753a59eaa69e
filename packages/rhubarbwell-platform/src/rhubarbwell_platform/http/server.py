"""HTTP server in front of any platform, for tests and the demo."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from rhubarbwell_platform.errors import (
    AnswerLostError,
    ConflictError,
    MissingObjectError,
    UnavailableError,
)
from rhubarbwell_platform.http.wire import (
    decode_writes,
    encode_listing,
    encode_rows,
)
from rhubarbwell_platform.services import Platform

__all__ = ["platform_app"]

MAX_BODY_BYTES = 64 << 20


def platform_app(platform: Platform) -> web.Application:
    """Return a web application that serves the platform over HTTP."""
    handlers = _Handlers(platform)
    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_map_errors])
    app.add_routes(
        [
            web.post("/tables/read", handlers.read),
            web.post("/tables/scan", handlers.scan),
            web.post("/tables/transact", handlers.transact),
            web.get("/objects/{key:.+}", handlers.get),
            web.put("/objects/{key:.+}", handlers.put),
            web.get("/instances", handlers.list_instances),
        ]
    )
    return app


class _Handlers:
    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def read(self, req: web.Request) -> web.Response:
        body = await req.json()
        rows = await self._platform.tables.read([str(key) for key in body["keys"]])
        return web.json_response(encode_rows(list(rows.values())))

    async def scan(self, req: web.Request) -> web.Response:
        body = await req.json()
        rows = await self._platform.tables.scan(
            str(body["prefix"]), after=str(body["after"]), limit=int(body["limit"])
        )
        return web.json_response(encode_rows(rows))

    async def transact(self, req: web.Request) -> web.Response:
        writes = decode_writes(await req.json())
        version = await self._platform.tables.transact(writes)
        return web.json_response({"version": version})

    async def get(self, req: web.Request) -> web.Response:
        text = await self._platform.objects.get(req.match_info["key"])
        return web.json_response({"text": text})

    async def put(self, req: web.Request) -> web.Response:
        body: dict[str, Any] = await req.json()
        await self._platform.objects.put(req.match_info["key"], str(body["text"]))
        return web.json_response({})

    async def list_instances(self, req: web.Request) -> web.Response:
        listing = await self._platform.instances.read()
        return web.json_response(encode_listing(listing))


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def _map_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except ConflictError as exc:
        return web.json_response({"key": exc.key}, status=409)
    except MissingObjectError as exc:
        return web.json_response({"key": exc.key}, status=404)
    except UnavailableError as exc:
        return web.json_response({"reason": str(exc)}, status=503)
    except AnswerLostError:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)
    except (KeyError, TypeError, ValueError) as exc:
        return web.json_response({"reason": repr(exc)}, status=400)
