"""Measure processor time and memory of a call."""

import gc
import time
import tracemalloc
from collections.abc import Callable

__all__ = ["KB", "MB", "cpu_time_us", "memory_bytes"]

KB = 1_000
MB = 1_000_000
US_PER_S = 1e6


def cpu_time_us(call: Callable[[], object], *, calls: int = 1) -> float:
    """Return the mean processor time of a call in us over consecutive calls."""
    start = time.process_time()
    for _ in range(calls):
        call()
    return (time.process_time() - start) / calls * US_PER_S


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the traced bytes of the object that build returns."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()
