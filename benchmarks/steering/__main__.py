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
from benchmarks.steering.scenarios import SCENARIOS, Timeline, run_scenarios
from benchmarks.steering.simulation import CoreFactory, Simulation

DEPLOYMENTS = {"wellenbrett": wellenbrett, "vanua": vanua}


def make_core(identity: Identity, rng: Random) -> Core:
    """Return the core that the benchmark measures."""
    return Core(identity, rng)


POLICIES: dict[str, CoreFactory] = {
    "rhubarbwell": make_core,
    "round robin": RoundRobin,
    "least load": LeastReportedLoad,
}


def run_policy(
    deployment: Deployment, policy: str, names: tuple[str, ...], *, seed: int
) -> tuple[dict[str, object], list[Check]]:
    """Return the figures and checks of one run that combines the named scenarios."""
    timeline = Timeline()
    simulation = Simulation(deployment, POLICIES[policy], seed=seed)
    run_scenarios(simulation, names, timeline)
    return summarise(simulation, timeline), check_targets(simulation, names, timeline)


def main(
    scenario: str = "all",
    deployment: str = "all",
    seed: int = 1,
    policies: str = "all",
) -> None:
    """Print the figures of scenarios and exit with status 1 on a missed target.

    scenario and policies are all or names separated by commas, deployment is all or
    one name. Scenario names joined by + run at once. Only the policy rhubarbwell is
    checked against the targets.
    """
    scenarios = list(SCENARIOS) if scenario == "all" else scenario.split(",")
    deployments = list(DEPLOYMENTS) if deployment == "all" else [deployment]
    policy_names = list(POLICIES) if policies == "all" else policies.split(",")
    missed_targets = 0
    for name in scenarios:
        for deployment_name in deployments:
            missed_targets += _run_and_print(deployment_name, name, policy_names, seed)
    print(f"targets missed: {missed_targets}")
    sys.exit(1 if missed_targets else 0)


def _run_and_print(
    deployment_name: str, name: str, policies: Iterable[str], seed: int
) -> int:
    print(f"\n{name}, {deployment_name}, seed {seed}")
    names = tuple(name.split("+"))
    figures_by_policy: dict[str, dict[str, object]] = {}
    checks: list[Check] = []
    for policy in policies:
        figures_by_policy[policy], policy_checks = run_policy(
            DEPLOYMENTS[deployment_name](), policy, names, seed=seed
        )
        if policy == "rhubarbwell":
            checks = policy_checks
    figures = next(iter(figures_by_policy.values()))
    rows = [
        [key, *(policy_figures[key] for policy_figures in figures_by_policy.values())]
        for key in figures
    ]
    print(tabulate(rows, headers=["figure", *figures_by_policy]))
    for check in checks:
        verdict = "met" if check.is_met else "MISSED"
        print(f"  {verdict}: {check.name} {check.value} (bound {check.bound})")
    return sum(not check.is_met for check in checks)


if __name__ == "__main__":
    fire.Fire(main)
