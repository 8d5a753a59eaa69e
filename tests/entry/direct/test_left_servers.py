"""Test that servers that have left get no requests while an instance is cut off."""

from aiohttp import web
from rhubarbwell_core.direct import ReaderSelector
from rhubarbwell_core.direct.backends import RETURN_GRACE_MS
from rhubarbwell_platform.errors import UnavailableError
from support.running_fleet import running_fleet, second_instance, wait_until
from support.unloaded_loops import run_unloaded

TABLE = "servers"


def follower_name(reader):
    """Return the name of an instance that prefers `reader` as store reader."""
    names = (f"follower-{n}" for n in range(20))
    own = reader.instance._own_entry
    for name in names:
        other = own._replace(instance_id=name)
        if ReaderSelector(other).own_rank([own]) == 1:
            return name
    raise AssertionError("every name goes before the reader's")


def knows_last_row(instance, fleet, backend_id):
    version, _ = fleet.store.rows[TABLE, backend_id]
    return instance.state.replicas[TABLE].row_version(backend_id).number >= version


async def respond_unavailable(request):
    return web.Response(status=503)


def listed_ids(instance):
    return {s.entry.backend_id for s in instance.balancer.backends.available("svc")}


# Guards against requests to servers that have left (DRAIN): an instance whose own calls
# failed took the store for out and kept a server that the working store had removed.
async def test_failed_calls_of_one_instance_do_not_keep_a_removed_server():
    async with running_fleet() as fleet:
        name = follower_name(fleet)
        async with second_instance(fleet, instance_id=name) as other:
            await wait_until(lambda: other._upstream.reader == "i-1")
            # Only a reader that has seen the store for longer shows that it was up.
            await wait_until(lambda: fleet.instance._health.up_ms > RETURN_GRACE_MS)
            other._health.record_failure(TABLE, UnavailableError("no connection"))
            await fleet.store.write(TABLE, "b-0", None)
            await wait_until(lambda: knows_last_row(other, fleet, "b-0"))
            await wait_until(lambda: not other._health.is_out)
            assert listed_ids(other) == {"b-1"}


# Guards against the opposite fault: entries that expired while the store was out are
# back soon after it, and the servers are sound.
def test_outage_of_the_store_keeps_servers_that_expired_meanwhile():
    assert run_unloaded(ids_listed_after_an_outage()) == [{"b-0", "b-1"}] * 2


async def ids_listed_after_an_outage():
    """Return what a reader and its follower list once an outage has ended."""
    async with running_fleet() as fleet:
        name = follower_name(fleet)
        async with second_instance(fleet, instance_id=name) as other:
            await wait_until(lambda: other._upstream.reader == "i-1")
            pair = (fleet.instance, other)
            fleet.store.fault_handler = respond_unavailable
            await wait_until(lambda: all(i._health.is_out for i in pair))
            await fleet.store.write(TABLE, "b-0", None)
            fleet.store.fault_handler = None
            await wait_until(lambda: all(knows_last_row(i, fleet, "b-0") for i in pair))
            return [listed_ids(instance) for instance in pair]
