"""The streaming proxy between callers and backend servers."""

from rhubarbwell_entry.proxy.answers import *
from rhubarbwell_entry.proxy.attempts import *
from rhubarbwell_entry.proxy.bodies import *
from rhubarbwell_entry.proxy.connections import *
from rhubarbwell_entry.proxy.exchanges import *
from rhubarbwell_entry.proxy.fingerprints import *
from rhubarbwell_entry.proxy.handler import *
from rhubarbwell_entry.proxy.headers import *
from rhubarbwell_entry.proxy.peers import *
from rhubarbwell_entry.proxy.problems import *
from rhubarbwell_entry.proxy.relays import *
from rhubarbwell_entry.proxy.sending import *
