"""HTTP clients for the platform's services and a server for tests and the demo."""

from rhubarbwell_platform.http.adapters import *
from rhubarbwell_platform.http.breaker import *
from rhubarbwell_platform.http.client import *
from rhubarbwell_platform.http.connections import *
from rhubarbwell_platform.http.server import *
from rhubarbwell_platform.http.timeouts import *
