"""Benchmarks of rhubarbwell."""
