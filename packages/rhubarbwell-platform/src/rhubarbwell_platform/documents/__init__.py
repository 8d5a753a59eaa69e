"""Parsing, validation and canonical encoding of configuration files."""

from rhubarbwell_platform.documents.checks import *
from rhubarbwell_platform.documents.encoding import *
from rhubarbwell_platform.documents.fields import *
from rhubarbwell_platform.documents.files import *
from rhubarbwell_platform.documents.findings import *
from rhubarbwell_platform.documents.nodes import *
