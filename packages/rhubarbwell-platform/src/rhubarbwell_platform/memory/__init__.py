"""In-memory services of the platform and fault injection."""

from rhubarbwell_platform.memory.faults import *
from rhubarbwell_platform.memory.instances import *
from rhubarbwell_platform.memory.objects import *
from rhubarbwell_platform.memory.platform import *
from rhubarbwell_platform.memory.tables import *
