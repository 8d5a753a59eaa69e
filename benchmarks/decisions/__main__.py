"""Print the processor time of look-ups, requests and metrics."""

import fire
from tabulate import tabulate

from benchmarks.decisions.deployments import make_core, make_deployment
from benchmarks.decisions.measures import (
    measure_look_ups,
    measure_metrics,
    measure_requests,
)

US_PER_S = 1_000_000


def print_timings(blocks: int = 280_000, nodes: int = 2_900, seed: int = 1) -> None:
    """Print the processor times with this many client blocks and entry instances."""
    deployment = make_deployment(blocks, nodes)
    core = make_core(deployment, seed=seed)
    timings = [
        measure_look_ups(core, deployment, nodes, seed=seed),
        measure_requests(make_core(deployment, seed=seed)),
        measure_metrics(core),
    ]
    rows = [
        (
            timing.name,
            timing.operation_us,
            timing.baseline_us,
            US_PER_S / timing.operation_us,
            timing.operation_us / timing.baseline_us,
        )
        for timing in timings
    ]
    headers = ["operation", "us", "baseline us", "per second and core", "ratio"]
    print(tabulate(rows, headers=headers, floatfmt=".1f"))


if __name__ == "__main__":
    fire.Fire(print_timings)
