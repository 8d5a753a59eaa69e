"""Budgets and use of the links between regions."""

from rhubarbwell_core.links.budgets import *
from rhubarbwell_core.links.token_buckets import *
