from hypothesis import given, settings, strategies
from rhubarbwell_core.messages import ServiceHeadroom
from rhubarbwell_core.shifts import move_weights, next_zone_weights

NAMES = strategies.sampled_from("abcd")
PARTS = strategies.dictionaries(NAMES, strategies.integers(1, 9), min_size=1)


def normalise(parts):
    return {name: n / sum(parts.values()) for name, n in parts.items()}


@settings(derandomize=True, deadline=None)
@given(PARTS, PARTS, strategies.floats(0.001, 0.5))
def test_no_move_passes_the_step_and_all_arrive(current, target, step):
    weights, goal = normalise(current), normalise(target)
    for _ in range(int(1 / step) + 2):
        moved = move_weights(weights, goal, step=step)
        gained = sum(max(0, moved.get(n, 0) - weights.get(n, 0)) for n in "abcd")
        assert gained <= step + 1e-9
        assert abs(sum(moved.values()) - 1.0) < 1e-6
        weights = moved
    assert all(abs(weights.get(n, 0) - goal.get(n, 0)) < 1e-6 for n in "abcd")


def make_headroom(free):
    return ServiceHeadroom("s", 100, free)


def test_full_zone_is_left_under_the_cap_and_weights_freeze_without_measurements():
    headroom = {"a": make_headroom(0), "b": make_headroom(50)}
    options = {"shift_cap_per_s": 0.05, "elapsed_ms": 500}
    weights = next_zone_weights({}, ("a", "b"), headroom, **options)
    assert weights == {"a": 1.0}
    weights = next_zone_weights(weights, ("a", "b"), headroom, **options)
    assert weights == {"a": 0.975, "b": 0.025}
    assert (
        next_zone_weights(weights, ("a", "b"), {"b": make_headroom(50)}, **options)
        == weights
    )
