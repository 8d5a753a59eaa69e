import logging

from rhubarbwell_entry.logs import EventRateFilter


def make_log_record(event):
    log_record = logging.LogRecord("name", logging.INFO, "f", 1, "m", (), None)
    log_record.event = event
    return log_record


def test_events_over_the_rate_are_left_out_and_counted():
    now_ms = [0]
    rate = EventRateFilter(max_events=2, window_ms=100, clock_ms=lambda: now_ms[0])
    assert [rate.filter(make_log_record("a")) for _ in range(5)] == [True, True] + [
        False
    ] * 3
    assert rate.filter(make_log_record("b"))
    now_ms[0] = 100
    first = make_log_record("a")
    assert rate.filter(first)
    assert first.left_out == 3
