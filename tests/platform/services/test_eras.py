"""Tests of tracking the era of the metadata store."""

import pytest
from rhubarbwell_platform.services import EraTracker, StoreEraError


def record_changes(eras):
    changes = []
    eras.subscribe(lambda old, new: changes.append((old, new)))
    return changes


def test_first_era_that_is_seen_is_no_change():
    eras = EraTracker()
    changes = record_changes(eras)
    eras.observe(5)
    assert (eras.current, changes) == (5, [])


def test_each_later_era_is_one_change():
    eras = EraTracker()
    changes = record_changes(eras)
    for era in (0, 0, 1, 1, 3):
        eras.observe(era)
    assert changes == [(0, 1), (1, 3)]


def test_lower_era_is_refused_and_changes_nothing():
    eras = EraTracker()
    changes = record_changes(eras)
    eras.observe(2)
    with pytest.raises(StoreEraError):
        eras.observe(1)
    assert (eras.current, changes) == (2, [])
