"""Capacity grants between entry instances of two regions."""

from rhubarbwell_core.grants.allowances import *
from rhubarbwell_core.grants.borrower import *
from rhubarbwell_core.grants.borrowing import *
from rhubarbwell_core.grants.capacity import *
from rhubarbwell_core.grants.grantor import *
from rhubarbwell_core.grants.lending import *
from rhubarbwell_core.grants.part import *
from rhubarbwell_core.grants.routes import *
