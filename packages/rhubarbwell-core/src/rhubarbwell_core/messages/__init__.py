"""Events that the core handles and actions that it returns."""

from rhubarbwell_core.messages.backends import *
from rhubarbwell_core.messages.configuration import *
from rhubarbwell_core.messages.grants import *
from rhubarbwell_core.messages.keys import *
from rhubarbwell_core.messages.membership import *
from rhubarbwell_core.messages.peers import *
from rhubarbwell_core.messages.requests import *
from rhubarbwell_core.messages.slots import *
