import ssl

import aiohttp
import pytest
import trustme
from aiohttp import web
from rhubarbwell_ops.connections import CA_ENV_VAR
from rhubarbwell_ops.operators import open_operator_client


async def serve_status(context):
    async def answer(_):
        return web.json_response({"state": "ready"})

    app = web.Application()
    app.router.add_get("/status", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"


async def fetch_status(address):
    async with open_operator_client(timeout_s=5.0) as client:
        return await client.get_json(address, "/status")


async def test_status_is_fetched_over_plain_http_without_a_ca(monkeypatch):
    monkeypatch.delenv(CA_ENV_VAR, raising=False)
    runner, address = await serve_status(None)
    assert await fetch_status(address) == {"state": "ready"}
    await runner.cleanup()


async def test_status_is_fetched_over_tls_with_a_ca(monkeypatch, tmp_path):
    authority, other_ca = trustme.CA(), trustme.CA()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    runner, address = await serve_status(context)
    for name, ca in (("good", authority), ("bad", other_ca)):
        ca.cert_pem.write_to_path(tmp_path / name)
    monkeypatch.setenv(CA_ENV_VAR, str(tmp_path / "good"))
    assert await fetch_status(address) == {"state": "ready"}
    monkeypatch.setenv(CA_ENV_VAR, str(tmp_path / "bad"))
    with pytest.raises(aiohttp.ClientConnectorCertificateError):
        await fetch_status(address)
    await runner.cleanup()
