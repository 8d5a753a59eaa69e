"""Answer look-ups of the entry instances that a caller should use."""

from rhubarbwell_core.lookups.answers import *
from rhubarbwell_core.lookups.directory import *
from rhubarbwell_core.lookups.part import *
from rhubarbwell_core.lookups.prefixes import *
