"""Benchmarks of the processor time of single decisions."""
