"""Fake and faulty backend servers for tests, benchmarks and the demo."""

from rhubarbwell_platform.standins.backend import *
from rhubarbwell_platform.standins.faults import *
