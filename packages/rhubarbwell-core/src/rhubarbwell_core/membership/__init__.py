"""Membership: which entry instances run, zone by zone."""

from rhubarbwell_core.hashing import *
from rhubarbwell_core.membership.headroom import *
from rhubarbwell_core.membership.mail import *
from rhubarbwell_core.membership.members import *
from rhubarbwell_core.membership.news import *
from rhubarbwell_core.membership.own import *
from rhubarbwell_core.membership.part import *
from rhubarbwell_core.membership.prober import *
from rhubarbwell_core.membership.probes import *
from rhubarbwell_core.membership.summaries import *
from rhubarbwell_core.membership.syncs import *
from rhubarbwell_core.membership.zones import *
