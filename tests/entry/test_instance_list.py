from random import Random

from rhubarbwell_core import Core
from rhubarbwell_core.messages import ConfigReceived
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Identity,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.instance_list import InstanceListPoller
from rhubarbwell_platform.errors import UnavailableError
from rhubarbwell_platform.services import (
    InstanceList,
    InstanceListing,
    ListedBackend,
    ListedState,
)

ADDRESS = Address("127.0.0.1", 1)


class ScriptedInstanceList(InstanceList):
    def __init__(self):
        self.state = ListedState.LIVE
        self.available = True

    async def read(self):
        if not self.available:
            raise UnavailableError("down")
        row = ListedBackend("b", "slotsvc", "r-a", self.state)
        return InstanceListing(0, (), (row,))


def make_driver():
    core = Core(Identity("i", "i-1", "r-a", "r", ADDRESS, ADDRESS), Random(1))
    deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
    backend = BackendSpec("b", "r-a", "127.0.0.1", 2)
    service = ServiceSpec("slotsvc", (WorkKind("page", "GET", "/"),), (backend,))
    cfg = Configuration(1, "x", deployment, {"slotsvc": service})
    core.handle(ConfigReceived(cfg), 0)
    return CoreDriver(core, clock_ms=lambda: 1_000)


async def test_listed_state_of_backend_servers_reaches_the_core():
    driver, listing = make_driver(), ScriptedInstanceList()
    poller = InstanceListPoller(driver, listing, ())
    seen = []
    for state, available in [
        (ListedState.LIVE, True),
        (ListedState.LEAVING, True),
        (ListedState.LIVE, False),
        (ListedState.LIVE, True),
    ]:
        listing.state, listing.available = state, available
        await poller.read_once()
        seen.append(driver.core.backends.rows["b"].draining)
    assert seen == [False, True, True, False]
