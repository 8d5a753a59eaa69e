"""Budgets and use of the links between regions."""

from rhubarbwell_core.links.accounts import *
from rhubarbwell_core.links.budgets import *
