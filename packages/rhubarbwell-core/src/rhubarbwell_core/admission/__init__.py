"""Admission of requests by rank, limits and deadlines."""

from rhubarbwell_core.admission.decisions import *
from rhubarbwell_core.admission.slots import *
