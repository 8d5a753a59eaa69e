from math import log

import pytest
from rhubarbwell_core.admission import AdaptiveLimit, SlotUsage
from rhubarbwell_core.routing import LatencyFloors

WINDOW_MS = 1_000


class LimitDriver:
    """Run a limit through windows of attempts with a given latency and load."""

    def __init__(self, share=6, ceiling=18):
        self.floors = LatencyFloors()
        self.limit = AdaptiveLimit(self.floors, now_ms=0)
        self.limit.set_bounds(share=share, ceiling=ceiling)
        self.now_ms = 0

    def run_window(self, latency_ms=60, sheds=0, others=0.0, full=True, known=True):
        for _ in range(40 - sheds):
            self.limit.observe_answer()
            self.floors.add("page", log(latency_ms))
        for _ in range(sheds):
            self.limit.observe_shed()
        if full:
            self.limit.record_limit_reached()
        self.now_ms += WINDOW_MS
        usage = SlotUsage(self.limit.value, others, members=3, claimants=1)
        self.limit.adjust(self.now_ms, usage=usage if known else None)
        return self.limit.value


def test_limit_starts_at_the_share_and_grows_only_when_full():
    driver = LimitDriver()
    assert driver.limit.slots == 6
    assert driver.run_window(full=False) == 6
    assert driver.run_window() == 7


def test_limit_takes_its_part_of_the_free_slots_and_no_more():
    driver = LimitDriver()
    values = [driver.run_window(others=9.0) for _ in range(12)]
    assert values[0] == 7 and 8.5 <= values[-1] <= 9


def test_limit_yields_borrowed_slots_as_others_come_back_but_keeps_its_share():
    driver = LimitDriver()
    for _ in range(40):
        driver.run_window()
    assert driver.limit.slots >= 17
    assert driver.run_window(others=9.0) <= 9
    assert driver.run_window(others=17.0) == 6


def test_limit_does_not_grow_above_the_share_without_reports():
    driver = LimitDriver()
    driver.run_window()
    assert driver.run_window(known=False) == 7


def test_latency_that_others_cause_does_not_push_the_limit_below_its_share():
    driver = LimitDriver()
    for _ in range(5):
        driver.run_window(others=12.0)
    values = [driver.run_window(latency_ms=200, others=16.0) for _ in range(5)]
    assert values == [6] * 5


def test_shed_requests_lower_the_limit_to_its_share_and_then_below_it():
    driver = LimitDriver()
    for _ in range(5):
        driver.run_window()
    assert driver.limit.value > 8
    lowered = [driver.run_window(sheds=10, others=6.0) for _ in range(4)]
    assert 6 in lowered and lowered[-1] < 6


@pytest.mark.parametrize("capacity", [2, 3, 4])
def test_limit_finds_a_capacity_below_its_share(capacity):
    driver = LimitDriver(share=6, ceiling=6)
    for _ in range(5):
        driver.run_window()
    slots = []
    for _ in range(20):
        driver.run_window(latency_ms=60 * max(1.0, driver.limit.slots / capacity))
        slots.append(driver.limit.slots)
    probe_slots = 1
    assert all(capacity <= s <= 1.5 * capacity + probe_slots for s in slots[5:])
    assert sum(s <= 1.5 * capacity for s in slots[5:]) >= 12


def test_latency_that_no_lower_limit_improves_is_taken_as_normal():
    driver = LimitDriver()
    for _ in range(5):
        driver.run_window(others=12.0)
    values = [driver.run_window(latency_ms=240, others=12.0) for _ in range(6)]
    assert values[0] < 6 and values[-1] == 6


def test_limit_follows_slots_that_leave():
    driver = LimitDriver()
    driver.limit.set_bounds(share=3, ceiling=9)
    assert driver.limit.slots == 3
    driver.limit.set_bounds(share=1, ceiling=0)
    assert driver.limit.slots == 0
