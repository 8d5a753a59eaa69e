"""Exchange messages between entry instances over gRPC."""

from rhubarbwell_entry.peers.codec import *
from rhubarbwell_entry.peers.envelopes import *
from rhubarbwell_entry.peers.keys import *
from rhubarbwell_entry.peers.node import *
from rhubarbwell_entry.peers.transport import *
