"""Shifts of traffic between zones and regions under a cap."""

from rhubarbwell_core.shifts.headroom import *
from rhubarbwell_core.shifts.ramps import *
from rhubarbwell_core.shifts.spills import *
from rhubarbwell_core.shifts.weights import *
from rhubarbwell_core.shifts.zones import *
