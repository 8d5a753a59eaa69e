"""Handle requests, their attempts and their outcomes."""

from rhubarbwell_core.requests.attempt_outcomes import *
from rhubarbwell_core.requests.hedging import *
from rhubarbwell_core.requests.lifecycle import *
from rhubarbwell_core.requests.rows import *
