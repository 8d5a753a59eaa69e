"""Report on error budget burn, headroom and drains of all instances."""

from rhubarbwell_ops.report.fleet import *
from rhubarbwell_ops.report.gather import *
from rhubarbwell_ops.report.json_form import *
from rhubarbwell_ops.report.plot import *
from rhubarbwell_ops.report.tables import *
