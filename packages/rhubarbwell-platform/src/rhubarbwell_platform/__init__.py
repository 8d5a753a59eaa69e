"""Platform services and their clients, documents, publishing and test servers."""

from rhubarbwell_platform.errors import *
from rhubarbwell_platform.http import *
from rhubarbwell_platform.memory import *
from rhubarbwell_platform.services import *
