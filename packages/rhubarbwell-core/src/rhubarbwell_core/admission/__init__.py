"""Admit requests by rank, deadline and adaptive limits."""

from rhubarbwell_core.admission.decisions import *
from rhubarbwell_core.admission.limits import *
from rhubarbwell_core.admission.queues import *
from rhubarbwell_core.admission.ranks import *
from rhubarbwell_core.admission.services import *
from rhubarbwell_core.admission.shares import *
