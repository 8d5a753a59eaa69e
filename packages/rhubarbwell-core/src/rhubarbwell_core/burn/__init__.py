"""Service-level burn: what share of the error budget is used, and why."""

from rhubarbwell_core.burn.observer import *
from rhubarbwell_core.burn.report import *
from rhubarbwell_core.burn.series import *
from rhubarbwell_core.burn.sketches import *
