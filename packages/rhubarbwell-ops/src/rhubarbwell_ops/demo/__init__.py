"""Demonstration of a small deployment on one machine."""

from rhubarbwell_ops.demo.deployment import *
from rhubarbwell_ops.demo.run import *
from rhubarbwell_ops.demo.tables import *
from rhubarbwell_ops.demo.workload import *
