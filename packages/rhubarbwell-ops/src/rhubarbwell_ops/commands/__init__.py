"""The commands of operators, one module each."""

from rhubarbwell_ops.commands.configuration import *
