"""Measure the control protocols of many cores on a virtual clock."""
