"""Small stand-ins that take the place of what surrounds rhubarbwell."""

from rhubarbwell_platform.standins.backend import *
from rhubarbwell_platform.standins.faults import *
