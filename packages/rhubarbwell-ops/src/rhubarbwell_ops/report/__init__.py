"""The report on service-level burn and headroom."""

from rhubarbwell_ops.report.fleet import *
from rhubarbwell_ops.report.gather import *
from rhubarbwell_ops.report.json_form import *
from rhubarbwell_ops.report.plot import *
from rhubarbwell_ops.report.tables import *
