"""Provide the tables, systems, timers and messages that the core is built from."""

from rhubarbwell_core.engine.messages import *
from rhubarbwell_core.engine.systems import *
from rhubarbwell_core.engine.tables import *
from rhubarbwell_core.engine.timers import *
