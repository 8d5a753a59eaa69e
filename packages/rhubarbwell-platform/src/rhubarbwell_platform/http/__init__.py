"""The platform over HTTP: adapters and a server for any platform."""

from rhubarbwell_platform.http.adapters import *
from rhubarbwell_platform.http.breaker import *
from rhubarbwell_platform.http.client import *
from rhubarbwell_platform.http.server import *
