"""Measure for how long bytes of servers and callers hold the event loop."""
