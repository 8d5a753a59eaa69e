from itertools import pairwise

from rhubarbwell_core.shifts import GrowthRamp, SpillWeights


def test_share_forwarded_follows_the_weight():
    spill = SpillWeights("north")
    forwarded = []
    for second in range(10):
        spill.move({"north": 0.0, "south": 1.0}, step=0.05)
        sent = 0
        for _ in range(200):
            spill.record_arrival()
            if spill.can_forward("south"):
                spill.record_forward("south")
                sent += 1
        forwarded.append(sent / 200)
        assert forwarded[-1] <= 0.05 * (second + 1) + 0.01
    changes = [b - a for a, b in pairwise(forwarded)]
    assert max(changes) <= 0.05 + 0.011
    assert forwarded[-1] > 0.45


def test_failed_region_is_left_at_once():
    spill = SpillWeights("north")
    spill.move({"north": 0.4, "south": 0.6}, step=1.0)
    for _ in range(5):
        spill.record_arrival()
    spill.remove_region("south")
    assert not spill.can_forward("south") and spill.remote_weight == 0.0


def test_growth_stays_under_a_part_per_second():
    ramp = GrowthRamp()
    in_use = 0
    for now_ms in range(0, 5_001, 100):
        in_use = ramp.max_in_use("s", in_use, 100, growth_per_s=0.1, now_ms=now_ms)
        assert in_use <= 10 + now_ms / 100
    assert in_use == 60
