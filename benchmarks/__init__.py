"""Benchmarks; comparisons are with baselines that are measured in the same run."""
