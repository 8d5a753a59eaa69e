"""Run the scenarios and print their figures: python -m benchmarks.steering."""

import sys
from collections.abc import Iterable
from random import Random

import fire
from rhubarbwell_core import Core
from rhubarbwell_core.model import Identity
from tabulate import tabulate

from benchmarks.steering.baselines import LeastReportedLoad, RoundRobin
from benchmarks.steering.deployments import Deployment, vanua, wellenbrett
from benchmarks.steering.report import Check, check_targets, summarise
from benchmarks.steering.scenarios import SCENARIOS, Timeline, run_world
from benchmarks.steering.simulation import CoreFactory, World

DEPLOYMENTS = {"wellenbrett": wellenbrett, "vanua": vanua}


def make_core(identity: Identity, rng: Random) -> Core:
    """Return the core under measurement."""
    return Core(identity, rng)


POLICIES: dict[str, CoreFactory] = {
    "rhubarbwell": make_core,
    "round robin": RoundRobin,
    "least load": LeastReportedLoad,
}


def run(
    deployment: Deployment, policy: str, names: tuple[str, ...], *, seed: int
) -> tuple[dict[str, object], list[Check]]:
    """Run one policy through the scenarios at once; return figures and checks."""
    timeline = Timeline()
    world = World(deployment, POLICIES[policy], seed=seed)
    run_world(world, names, timeline)
    return summarise(world, timeline), check_targets(world, names, timeline)


def main(
    scenario: str = "all",
    deployment: str = "all",
    seed: int = 1,
    policies: str = "all",
) -> None:
    """Print figures for scenarios (a name, names joined by +, or all)."""
    scenarios = list(SCENARIOS) if scenario == "all" else scenario.split(",")
    deployments = list(DEPLOYMENTS) if deployment == "all" else [deployment]
    chosen = list(POLICIES) if policies == "all" else policies.split(",")
    missed = 0
    for name in scenarios:
        for place in deployments:
            missed += _print_runs(place, name, chosen, seed)
    print(f"targets missed: {missed}")
    sys.exit(1 if missed else 0)


def _print_runs(place: str, name: str, policies: Iterable[str], seed: int) -> int:
    print(f"\n{name}, {place}, seed {seed}")
    names = tuple(name.split("+"))
    columns: dict[str, dict[str, object]] = {}
    checks: list[Check] = []
    for policy in policies:
        columns[policy], found = run(DEPLOYMENTS[place](), policy, names, seed=seed)
        if policy == "rhubarbwell":
            checks = found
    figures = next(iter(columns.values()))
    rows = [[key, *(column[key] for column in columns.values())] for key in figures]
    print(tabulate(rows, headers=["figure", *columns]))
    for check in checks:
        verdict = "met" if check.holds else "MISSED"
        print(f"  {verdict}: {check.name} {check.value} (bound {check.bound})")
    return sum(not check.holds for check in checks)


if __name__ == "__main__":
    fire.Fire(main)
