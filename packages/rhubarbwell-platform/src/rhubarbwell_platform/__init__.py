"""Platform adapters, stand-ins, service files and publishing."""

from rhubarbwell_platform.errors import *
from rhubarbwell_platform.http import *
from rhubarbwell_platform.memory import *
from rhubarbwell_platform.services import *
