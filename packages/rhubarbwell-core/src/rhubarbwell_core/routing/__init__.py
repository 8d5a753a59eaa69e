"""Routing of attempts to backend servers and regions."""

from rhubarbwell_core.routing.backends import *
from rhubarbwell_core.routing.retries import *
from rhubarbwell_core.routing.routes import *
