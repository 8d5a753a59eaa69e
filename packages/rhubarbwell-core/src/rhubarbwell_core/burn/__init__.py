"""Error budget burn of services: the share of the budget used, by cause."""

from rhubarbwell_core.burn.observer import *
from rhubarbwell_core.burn.report import *
from rhubarbwell_core.burn.series import *
from rhubarbwell_core.burn.sketches import *
