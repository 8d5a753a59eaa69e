"""Tell when heartbeats of entry instances were sent, and whether they come on time."""

from collections import deque
from typing import NamedTuple

__all__ = ["HeartbeatClock", "HeartbeatDelays", "SignOfLife"]

# Heartbeats of earlier builds are numbered from 1; later ones hold a time in ms that
# began at the Unix time of the process's start.
MIN_TIME_MS = 10**12
# The smallest difference of one to two periods is that of a heartbeat that was not held
# up. Older ones are forgotten, because the clocks of two machines drift apart.
PERIOD_MS = 60_000
# An instance that follows a reader sends no heartbeats; a difference from before counts
# for this time.
MAX_OFFSET_AGE_MS = 600_000
# Instances read the rows of others in periods of up to this time, or through another
# instance.
MAX_USUAL_DELAY_MS = 1_000
# Heartbeats of a reader arrive at least this often.
MAX_SILENCE_MS = 3_000
# An instance that got no answer to a write has tried again after this time.
SETTLING_MS = 2_600
# Longer than the store delays a write.
MEMORY_MS = 10_000
# Before any time of a clock.
NEVER = -(10**15)


class HeartbeatClock:
    """Convert the times in the heartbeats of one incarnation into local times.

    A heartbeat tells when it was sent by the steady clock of its writer. What the
    difference between its arrival and that time exceeds the smallest recent one by is
    its delay. No clocks need to agree.

    >>> clock = HeartbeatClock()
    >>> [clock.delay_ms(MIN_TIME_MS + sent, now) for sent, now in [(0, 90), (50, 150)]]
    [None, 10]
    >>> clock.delay_ms(7, 200) is None
    True
    """

    __slots__ = ("_earlier_offset_ms", "_offset_ms", "_period_end_ms")

    def __init__(self) -> None:
        self._offset_ms: int | None = None
        self._earlier_offset_ms: int | None = None
        self._period_end_ms = 0

    def delay_ms(self, beat: int, now_ms: int) -> int | None:
        """Return by how many ms a heartbeat that arrives now was held up.

        Returns None if that is unknown: there is no earlier heartbeat to compare with,
        or it does not tell its time.
        """
        if beat < MIN_TIME_MS:
            return None
        offset_ms = now_ms - beat
        self._begin_period(now_ms)
        recent = (self._offset_ms, self._earlier_offset_ms)
        known = [known_ms for known_ms in recent if known_ms is not None]
        if self._offset_ms is None or offset_ms < self._offset_ms:
            self._offset_ms = offset_ms
        return max(0, offset_ms - min(known)) if known else None

    def _begin_period(self, now_ms: int) -> None:
        if now_ms < self._period_end_ms:
            return
        is_recent = now_ms < self._period_end_ms + MAX_OFFSET_AGE_MS
        self._earlier_offset_ms = self._offset_ms if is_recent else None
        self._offset_ms = None
        self._period_end_ms = now_ms + PERIOD_MS


class SignOfLife(NamedTuple):
    """Hold when a sign of life arrived and when it was sent."""

    seen_ms: int
    sent_ms: int


class HeartbeatDelays:
    """Track whether the store performs the heartbeats of all instances late.

    If it does, the delay of an instance's last heartbeat does not tell that the
    instance has ended.

    >>> delays = HeartbeatDelays()
    >>> delays.record(0, 10)
    >>> delays.are_usual(1_000), delays.are_usual(2_700), delays.are_usual(4_000)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._on_time = deque[SignOfLife]()
        # Time at which the first one on time after the last late one was sent.
        self._on_time_since_ms: int | None = None
        self._late_sent_ms: int | None = None

    def record(self, sent_ms: int, now_ms: int) -> None:
        """Record a heartbeat that arrives now."""
        if now_ms - sent_ms > MAX_USUAL_DELAY_MS:
            self._record_late(sent_ms)
            return
        self._on_time.append(SignOfLife(now_ms, sent_ms))
        while now_ms - self._on_time[0].seen_ms > MEMORY_MS:
            self._on_time.popleft()
        is_after = self._late_sent_ms is None or sent_ms > self._late_sent_ms
        if self._on_time_since_ms is None and is_after:
            self._on_time_since_ms = sent_ms

    def are_usual(self, now_ms: int) -> bool:
        """Return True if heartbeats come on time.

        They have for long enough that each live instance has sent one.
        """
        if not self._on_time or self._on_time_since_ms is None:
            return False
        is_recent = now_ms - self._on_time[-1].seen_ms <= MAX_SILENCE_MS
        return is_recent and now_ms - self._on_time_since_ms >= SETTLING_MS

    def counted_ms(self, sent_ms: int, now_ms: int) -> int:
        """Return the time in ms from which a heartbeat that arrives now counts."""
        if self.are_usual(now_ms):
            return min(now_ms, sent_ms + MAX_USUAL_DELAY_MS)
        return now_ms

    def oldest_live(self, seen_ms: int, now_ms: int) -> SignOfLife:
        """Return the oldest sign of life that counts if it arrived at seen_ms."""
        is_usual = self.are_usual(now_ms)
        return SignOfLife(seen_ms, seen_ms - MAX_USUAL_DELAY_MS if is_usual else NEVER)

    def _record_late(self, sent_ms: int) -> None:
        if self._late_sent_ms is not None and sent_ms <= self._late_sent_ms:
            return
        self._late_sent_ms = sent_ms
        later = [beat.sent_ms for beat in self._on_time if beat.sent_ms > sent_ms]
        self._on_time_since_ms = min(later, default=None)
