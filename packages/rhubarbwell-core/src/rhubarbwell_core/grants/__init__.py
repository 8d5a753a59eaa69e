"""Capacity grants between entry instances of two regions."""

from rhubarbwell_core.grants.allowances import *
from rhubarbwell_core.grants.borrower import *
from rhubarbwell_core.grants.grantor import *
