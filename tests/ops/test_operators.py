import ssl

import aiohttp
import pytest
import trustme
from aiohttp import web
from rhubarbwell_ops.connections import CA_VARIABLE
from rhubarbwell_ops.operators import open_operators


async def serve_status(context):
    async def answer(_):
        return web.json_response({"state": "ready"})

    app = web.Application()
    app.router.add_get("/status", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"


async def ask(address):
    async with open_operators(timeout_s=5.0) as client:
        return await client.ask(address, "/status")


async def test_status_is_asked_in_clear_without_an_authority(monkeypatch):
    monkeypatch.delenv(CA_VARIABLE, raising=False)
    runner, address = await serve_status(None)
    assert await ask(address) == {"state": "ready"}
    await runner.cleanup()


async def test_status_is_asked_over_tls_with_an_authority(monkeypatch, tmp_path):
    authority, stranger = trustme.CA(), trustme.CA()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    runner, address = await serve_status(context)
    for name, ca in (("good", authority), ("bad", stranger)):
        ca.cert_pem.write_to_path(tmp_path / name)
    monkeypatch.setenv(CA_VARIABLE, str(tmp_path / "good"))
    assert await ask(address) == {"state": "ready"}
    monkeypatch.setenv(CA_VARIABLE, str(tmp_path / "bad"))
    with pytest.raises(aiohttp.ClientConnectorCertificateError):
        await ask(address)
    await runner.cleanup()
