"""Implementations of the operators' commands."""

from rhubarbwell_ops.commands.configuration import *
from rhubarbwell_ops.commands.explain import *
from rhubarbwell_ops.commands.report import *
from rhubarbwell_ops.commands.running import *
from rhubarbwell_ops.commands.where import *
