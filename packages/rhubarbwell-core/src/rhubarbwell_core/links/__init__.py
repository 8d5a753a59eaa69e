"""Bandwidth budgets of the links between regions and their use."""

from rhubarbwell_core.links.budgets import *
from rhubarbwell_core.links.token_buckets import *
