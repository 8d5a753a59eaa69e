"""Deterministic load-and-fault harness for steering decisions."""
