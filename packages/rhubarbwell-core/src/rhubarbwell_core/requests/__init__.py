"""Requests, their attempts and their outcomes."""

from rhubarbwell_core.requests.judgement import *
from rhubarbwell_core.requests.lifecycle import *
