"""Interfaces to the platform's table service, object store and instance list."""

from rhubarbwell_platform.services.eras import *
from rhubarbwell_platform.services.instances import *
from rhubarbwell_platform.services.metadata import *
from rhubarbwell_platform.services.objects import *
from rhubarbwell_platform.services.platform import *
from rhubarbwell_platform.services.tables import *
