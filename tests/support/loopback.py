"""A loopback address at which no other process listens."""

import os

__all__ = ["LOOPBACK"]

# At an address of all, the system gives a port that one process has closed to another
# one, whose servers would get the requests of those that still send to the first.
_PID = os.getpid()
LOOPBACK = f"127.{64 + (_PID >> 16)}.{_PID >> 8 & 255}.{_PID & 255}"
