"""Tests of non-blocking logs of limited volume."""

import json
import logging
import os

from rhubarbwell_entry.direct.logsink import BoundedLogHandler, LogRateLimiter


class Clock:
    now_ms = 0

    def __call__(self):
        return self.now_ms


def make_logger(fd, rates=None):
    clock = Clock()
    rates = rates or LogRateLimiter(info_per_s=1e6, warning_per_s=1e6, now_ms=0)
    handler = BoundedLogHandler(fd, rates=rates, clock_ms=clock)
    log = logging.Logger("test")
    log.addHandler(handler)
    return log, handler, clock


def read_lines(fd):
    data = b""
    os.set_blocking(fd, False)
    try:
        while chunk := os.read(fd, 1 << 16):
            data += chunk
    except BlockingIOError:
        pass
    return data


def parse_json_lines(data):
    return [json.loads(line) for line in data.splitlines()]


def test_log_line_contains_extra_fields():
    reader, writer = os.pipe()
    log, _, _ = make_logger(writer)
    log.warning("refused", extra={"event": "request_refused", "load": 2})
    (line,) = parse_json_lines(read_lines(reader))
    assert line["message"] == "refused"
    assert (line["event"], line["load"], line["level"]) == (
        "request_refused",
        2,
        "WARNING",
    )


def test_full_pipe_drops_lines_without_blocking():
    reader, writer = os.pipe()
    log, handler, clock = make_logger(writer)
    for number in range(5_000):
        log.info("line", extra={"event": "filler", "number": number, "pad": "x" * 200})
    log.warning("last", extra={"event": "request_refused"})
    seen = read_lines(reader)
    clock.now_ms = 10_000
    handler.flush()
    seen += read_lines(reader)
    handler.flush()
    seen += read_lines(reader)
    log.info("later", extra={"event": "later"})
    seen += read_lines(reader)
    seen = parse_json_lines(seen)
    events = {line["event"] for line in seen}
    assert {"request_refused", "lines_left_out", "later"} <= events
    (summary,) = [line for line in seen if line["event"] == "lines_left_out"]
    written = sum(line["event"] == "filler" for line in seen)
    assert written + summary["counts"]["filler"] == 5_000


def test_warnings_are_logged_while_info_lines_are_dropped():
    reader, writer = os.pipe()
    rates = LogRateLimiter(info_per_s=5, warning_per_s=50, now_ms=0)
    log, _, _ = make_logger(writer, rates)
    for _ in range(30):
        log.info("answered", extra={"event": "request_ended"})
        log.warning("refused", extra={"event": "request_refused"})
    events = [line["event"] for line in parse_json_lines(read_lines(reader))]
    assert events.count("request_refused") == 30
    assert events.count("request_ended") == 10


# Guards against a change of the configuration that is missing in a busy instance's log.
def test_rare_events_are_logged_beside_many_requests():
    reader, writer = os.pipe()
    rates = LogRateLimiter(info_per_s=5, warning_per_s=50, now_ms=0)
    log, _, _ = make_logger(writer, rates)
    for number in range(60):
        log.info("answered", extra={"event": "request_ended"})
        if number % 20 == 19:
            log.info("in force", extra={"event": "config_in_force"})
    events = [line["event"] for line in parse_json_lines(read_lines(reader))]
    assert events.count("config_in_force") == 3
    assert events.count("request_ended") == 10
