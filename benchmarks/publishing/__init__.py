"""Measure costs of publishing and check it under concurrency and faults."""
