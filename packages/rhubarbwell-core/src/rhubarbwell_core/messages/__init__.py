"""Events that the core handles and actions that it returns.

The shell is the code around the core that does its I/O: it passes events to the core
and carries out the actions.
"""

from rhubarbwell_core.messages.backends import *
from rhubarbwell_core.messages.configuration import *
from rhubarbwell_core.messages.grants import *
from rhubarbwell_core.messages.keys import *
from rhubarbwell_core.messages.membership import *
from rhubarbwell_core.messages.peers import *
from rhubarbwell_core.messages.requests import *
from rhubarbwell_core.messages.slots import *
