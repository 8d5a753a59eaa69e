"""Benchmarks: ratios against baselines in the same run."""
