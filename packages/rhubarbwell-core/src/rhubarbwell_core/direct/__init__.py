"""Provide direct forwarding: entry instances send requests to any region's servers."""

from rhubarbwell_core.direct.accounts import *
from rhubarbwell_core.direct.admission import *
from rhubarbwell_core.direct.affinity import *
from rhubarbwell_core.direct.backends import *
from rhubarbwell_core.direct.balancer import *
from rhubarbwell_core.direct.budgets import *
from rhubarbwell_core.direct.concurrency import *
from rhubarbwell_core.direct.estimates import *
from rhubarbwell_core.direct.followers import *
from rhubarbwell_core.direct.instances import *
from rhubarbwell_core.direct.learning import *
from rhubarbwell_core.direct.model import *
from rhubarbwell_core.direct.pace import *
from rhubarbwell_core.direct.rates import *
from rhubarbwell_core.direct.readers import *
from rhubarbwell_core.direct.regions import *
from rhubarbwell_core.direct.replica import *
from rhubarbwell_core.direct.reports import *
from rhubarbwell_core.direct.requests import *
from rhubarbwell_core.direct.restarts import *
from rhubarbwell_core.direct.routes import *
from rhubarbwell_core.direct.shutdown import *
from rhubarbwell_core.direct.verdicts import *
from rhubarbwell_core.direct.versions import *
