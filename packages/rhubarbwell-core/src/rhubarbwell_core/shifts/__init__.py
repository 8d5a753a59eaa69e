"""Traffic shifts between zones and regions, limited by a rate cap."""

from rhubarbwell_core.shifts.headroom import *
from rhubarbwell_core.shifts.ramps import *
from rhubarbwell_core.shifts.spills import *
from rhubarbwell_core.shifts.weights import *
from rhubarbwell_core.shifts.zones import *
