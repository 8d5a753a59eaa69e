import ssl
from pathlib import Path

import pytest
import trustme
from aiohttp import web
from aiohttp.test_utils import TestServer
from rhubarbwell_core.adoption import EMPTY_CHAIN, LogHead
from rhubarbwell_core.model import Address
from rhubarbwell_ops.commands.publish import PublishOptions, drain, publish_files
from rhubarbwell_ops.exits import ExitCode
from rhubarbwell_ops.instances import Adoption, read_statuses
from rhubarbwell_platform import (
    Fault,
    FaultKind,
    InstanceListing,
    ListedInstance,
    MemoryInstanceList,
    Operation,
    ScriptedFaults,
    memory_platform,
    with_faults,
)
from rhubarbwell_platform.publishing import read_state

EXAMPLES = Path(__file__).parents[3] / "examples" / "demo"
FILES = [str(path) for path in sorted(EXAMPLES.glob("*.jsonc"))]
OPTIONS = PublishOptions("ana", 1)
UNUSED_ADDRESS = Address("127.0.0.1", 9)


async def published_version(platform):
    return (await read_state(platform)).head.version


@pytest.mark.parametrize(
    ("operation", "faults", "exit_code", "version"),
    [
        (Operation.READ, 1, ExitCode.NOT_DONE, 0),
        (Operation.PUT, 1, ExitCode.NOT_DONE, 0),
        (Operation.TRANSACT, 1, ExitCode.DONE, 5),
        (Operation.TRANSACT, 5, ExitCode.UNKNOWN, 0),
    ],
)
async def test_exit_code_after_store_faults(operation, faults, exit_code, version):
    inner = memory_platform()
    script = ScriptedFaults()
    lost = [Fault(FaultKind.REQUEST_LOST)] * faults
    if operation is Operation.READ:
        script.add(Operation.READ, *[None] * 1, *lost)
    else:
        script.add(operation, *lost)
    report = await publish_files(with_faults(inner, script), FILES, OPTIONS)
    assert report.exit_code is exit_code
    assert await published_version(inner) == version


async def test_repeating_a_publish_id_resolves_an_unknown_outcome():
    inner = memory_platform()
    script = ScriptedFaults()
    script.add(Operation.TRANSACT, *[Fault(FaultKind.REQUEST_LOST)] * 4)
    script.add(Operation.TRANSACT, Fault(FaultKind.ANSWER_LOST))
    first = await publish_files(with_faults(inner, script), FILES, OPTIONS)
    assert first.exit_code is ExitCode.UNKNOWN
    publish_id = first.fields["publish_id"]
    again = await publish_files(inner, FILES, OPTIONS._replace(publish_id=publish_id))
    assert (again.exit_code, again.fields["repeated"]) == (ExitCode.DONE, True)
    assert await published_version(inner) == 5


async def test_no_publish_while_an_instance_is_ahead_of_the_store():
    async def status(request):
        body = {"config_version": 9, "config_digest": "d", "state": "ready"}
        return web.json_response(body)

    app = web.Application()
    app.router.add_get("/status", status)
    server = TestServer(app)
    await server.start_server()
    platform = memory_platform()
    operators = Address("127.0.0.1", server.port)
    platform.instances.listing = InstanceListing(
        0, (ListedInstance("i-1", "lake-a", UNUSED_ADDRESS, operators),)
    )
    refused = await publish_files(platform, FILES, OPTIONS)
    assert refused.exit_code is ExitCode.NOT_DONE
    assert "i-1 has version 9 in force, the store is at 0" in refused.text
    forced = await publish_files(platform, FILES, OPTIONS._replace(force=True))
    assert forced.exit_code is ExitCode.DONE
    await server.close()


async def test_statuses_are_read_over_tls(tmp_path, monkeypatch):
    async def status(request):
        body = {"config_version": 0, "config_digest": "", "state": "ready"}
        return web.json_response(body)

    ca = trustme.CA()
    ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    ca.issue_cert("127.0.0.1").configure_cert(context)
    app = web.Application()
    app.router.add_get("/status", status)
    server = TestServer(app)
    await server.start_server(ssl=context)
    row = ListedInstance(
        "i-1", "lake-a", UNUSED_ADDRESS, Address("127.0.0.1", server.port)
    )
    instances = MemoryInstanceList()
    instances.listing = InstanceListing(0, (row,))
    head = LogHead(0, EMPTY_CHAIN)
    plain = await read_statuses(instances, head)
    monkeypatch.setenv("RHUBARBWELL_CA", str(tmp_path / "ca.pem"))
    over_tls = await read_statuses(instances, head)
    assert plain[0].adoption is Adoption.UNREACHABLE
    assert over_tls[0].adoption is Adoption.IN_FORCE
    await server.close()


async def test_repeated_drain_changes_nothing():
    platform = memory_platform()
    await publish_files(platform, FILES, OPTIONS)
    for version in (6, 6):
        report = await drain(platform, "paysvc-lake-a-1", OPTIONS)
        assert (report.exit_code, await published_version(platform)) == (
            ExitCode.DONE,
            version,
        )
    report = await drain(platform, "nobody", OPTIONS)
    assert report.exit_code is ExitCode.FINDINGS
