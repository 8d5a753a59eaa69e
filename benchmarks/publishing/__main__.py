"""Print publishing costs and a full-size race: python -m benchmarks.publishing."""

from benchmarks.publishing.costs import measure_costs
from benchmarks.publishing.race import run_race

PUBLISHES = 1_000
COST_PUBLISHES = 320
SEED = 7

for example in ("wellenbrett", "vanua"):
    print(f"{example}:")
    costs = measure_costs(example, publishes=COST_PUBLISHES)
    for name, cost in costs._asdict().items():
        print(f"  {name}: {cost if isinstance(cost, dict) else round(cost, 1)}")

print(f"race of {PUBLISHES} publishes, seed {SEED}:")
result = run_race(PUBLISHES, seed=SEED)
for name, value in result._asdict().items():
    print(f"  {name}: {value}")
print(f"  reads per publish: {result.reads / result.accepted:.1f}")
print(f"  transactions per publish: {result.transactions / result.accepted:.2f}")
