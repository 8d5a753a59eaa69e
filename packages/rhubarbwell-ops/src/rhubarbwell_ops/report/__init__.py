"""The report on service-level burn."""

from rhubarbwell_ops.report.gather import *
from rhubarbwell_ops.report.json_form import *
from rhubarbwell_ops.report.plot import *
from rhubarbwell_ops.report.tables import *
