"""Messages between entry instances over grpclib."""

from rhubarbwell_entry.peers.codec import *
from rhubarbwell_entry.peers.envelopes import *
from rhubarbwell_entry.peers.keys import *
from rhubarbwell_entry.peers.node import *
from rhubarbwell_entry.peers.transport import *
