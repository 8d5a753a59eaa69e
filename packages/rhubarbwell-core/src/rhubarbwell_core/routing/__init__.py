"""Route attempts to backend servers and regions."""

from rhubarbwell_core.routing.account_peers import *
from rhubarbwell_core.routing.backends import *
from rhubarbwell_core.routing.latencies import *
from rhubarbwell_core.routing.loads import *
from rhubarbwell_core.routing.members import *
from rhubarbwell_core.routing.pools import *
from rhubarbwell_core.routing.recovery import *
from rhubarbwell_core.routing.retries import *
from rhubarbwell_core.routing.routes import *
from rhubarbwell_core.routing.subsets import *
