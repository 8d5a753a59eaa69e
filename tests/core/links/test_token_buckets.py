from random import Random

from rhubarbwell_core.links import TokenBucket

RATE = 1_000_000
LARGEST = 65_536


def test_a_second_carries_no_more_than_rate_burst_and_one_message():
    rng = Random(3)
    bucket = TokenBucket()
    bucket.set_rate(RATE, now_ms=0)
    sent = []
    for now_ms in range(5_000):
        while bucket.has_credit(now_ms):
            count = rng.randint(1, LARGEST)
            bucket.charge(count)
            sent.append((now_ms, count))
    for start_ms in range(0, 4_000, 50):
        carried = sum(n for at, n in sent if start_ms <= at < start_ms + 1_000)
        assert carried <= 1.1 * RATE + LARGEST
    assert sum(count for _, count in sent) > 4.5 * RATE


def test_paced_messages_leave_less_for_small_ones():
    bucket = TokenBucket()
    bucket.set_rate(RATE, now_ms=0)
    bucket.charge(RATE // 10)
    assert bucket.can_reserve(RATE) and not bucket.can_reserve(RATE + 1)
    bucket.reserve(RATE, now_ms=0)
    assert not bucket.has_credit(1_000) and not bucket.can_reserve(1)
    bucket.release(RATE, now_ms=1_000)
    assert bucket.has_credit(1_001)


def test_changed_rate_saves_up_no_second_burst():
    bucket = TokenBucket()
    for now_ms in range(0, 100, 10):
        bucket.set_rate(RATE, now_ms)
        bucket.set_rate(0, now_ms + 1)
    bucket.set_rate(RATE, 100)
    bucket.charge(RATE // 10)
    assert not bucket.has_credit(100)
