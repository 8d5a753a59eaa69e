"""A base class of HTTP servers on a loopback port."""

from aiohttp import web
from rhubarbwell_core.model import Address
from support.loopback import LOOPBACK

__all__ = ["LoopbackServer"]


class LoopbackServer:
    """Serve HTTP requests on a loopback port."""

    async def start(self) -> None:
        server = web.Server(self.handle, access_log=None, auto_decompress=False)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = Address(host, port)

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError
