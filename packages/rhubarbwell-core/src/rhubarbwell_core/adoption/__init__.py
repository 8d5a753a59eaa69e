"""Adopt published configurations in ascending, chain-verified versions."""

from rhubarbwell_core.adoption.alarms import *
from rhubarbwell_core.adoption.log import *
from rhubarbwell_core.adoption.messages import *
from rhubarbwell_core.adoption.part import *
from rhubarbwell_core.adoption.position import *
