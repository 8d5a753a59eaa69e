"""Runs the race at full size: python -m benchmarks.publishing."""

import time

from benchmarks.publishing.race import run_race

PUBLISHES = 1_000
SEED = 7

started_s = time.process_time()
result = run_race(PUBLISHES, seed=SEED)
cpu_s = time.process_time() - started_s
for name, value in result._asdict().items():
    print(f"{name}: {value}")
print(f"store reads per publish: {result.reads / result.accepted:.1f}")
print(f"transactions per publish: {result.transactions / result.accepted:.2f}")
print(f"CPU ms per publish, followers included: {cpu_s * 1_000 / result.accepted:.1f}")
