"""Track which entry instances run in each availability zone."""

from rhubarbwell_core.hashing import *
from rhubarbwell_core.membership.anti_entropy import *
from rhubarbwell_core.membership.gossip import *
from rhubarbwell_core.membership.headroom import *
from rhubarbwell_core.membership.heartbeats import *
from rhubarbwell_core.membership.members import *
from rhubarbwell_core.membership.own import *
from rhubarbwell_core.membership.part import *
from rhubarbwell_core.membership.prober import *
from rhubarbwell_core.membership.probes import *
from rhubarbwell_core.membership.summaries import *
from rhubarbwell_core.membership.zones import *
