"""Requests, their attempts and their outcomes."""

from rhubarbwell_core.requests.hedging import *
from rhubarbwell_core.requests.judgement import *
from rhubarbwell_core.requests.lifecycle import *
from rhubarbwell_core.requests.rows import *
