"""Slot leases that divide a zone's capacity among its entry instances."""

from rhubarbwell_core.slots.leases import *
from rhubarbwell_core.slots.part import *
from rhubarbwell_core.slots.relays import *
