"""Adoption of published configurations: versions only upwards, proven by a chain."""

from rhubarbwell_core.adoption.alarms import *
from rhubarbwell_core.adoption.log import *
from rhubarbwell_core.adoption.messages import *
from rhubarbwell_core.adoption.part import *
from rhubarbwell_core.adoption.position import *
