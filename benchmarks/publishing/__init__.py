"""Benchmarks of publishing."""
