"""Plain data types shared by all of rhubarbwell."""

from rhubarbwell_core.model.accounts import *
from rhubarbwell_core.model.configuration import *
from rhubarbwell_core.model.deployment import *
from rhubarbwell_core.model.identity import *
from rhubarbwell_core.model.outcomes import *
from rhubarbwell_core.model.ranks import *
from rhubarbwell_core.model.services import *
