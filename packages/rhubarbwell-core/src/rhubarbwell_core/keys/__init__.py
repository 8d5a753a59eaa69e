"""Run requests with idempotency keys at most once and replay their answers."""

from rhubarbwell_core.keys.decisions import *
from rhubarbwell_core.keys.outcomes import *
from rhubarbwell_core.keys.records import *
from rhubarbwell_core.keys.requests import *
from rhubarbwell_core.keys.tickets import *
from rhubarbwell_core.keys.waiting import *
