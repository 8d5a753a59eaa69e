"""Track polls by other instances and estimate an instance's request capacity."""

from typing import NamedTuple

__all__ = ["FollowerTracker", "request_capacity"]

# Followers poll about twice a second; two polls may be late.
FOLLOWER_TIMEOUT_MS = 1_200
# Requests per second that one core forwards, from processor time in benchmark runs.
REQUESTS_PER_CORE_S = 400.0
# Bytes of a request and its answer on one side of an instance, including uploads.
LINK_BYTES_PER_REQUEST = 20_000
BYTES_PER_MBIT = 125_000


class _LastPoll(NamedTuple):
    at_ms: int
    is_busy: bool


class FollowerTracker:
    """Store which instances poll this instance and which of them are busy.

    Such an instance is a follower: it reads the changes of the metadata store from
    this instance instead of the store.

    >>> followers = FollowerTracker()
    >>> followers.record_poll("i-2", True, 0)
    >>> followers.ids(1_000), followers.busy_ids(1_000), followers.ids(2_000)
    (('i-2',), ('i-2',), ())
    """

    def __init__(self) -> None:
        self._polls: dict[str, _LastPoll] = {}

    def record_poll(self, instance_id: str, is_busy: bool, now_ms: int) -> None:
        """Record a poll by a follower."""
        self._polls[instance_id] = _LastPoll(now_ms, is_busy)

    def ids(self, now_ms: int) -> tuple[str, ...]:
        """Return the ids of the followers that polled recently."""
        self._remove_expired(now_ms)
        return tuple(sorted(self._polls))

    def busy_ids(self, now_ms: int) -> tuple[str, ...]:
        """Return the ids of the recent followers whose event loops lag."""
        self._remove_expired(now_ms)
        return tuple(sorted(n for n, poll in self._polls.items() if poll.is_busy))

    def _remove_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - FOLLOWER_TIMEOUT_MS
        self._polls = {n: p for n, p in self._polls.items() if p.at_ms >= oldest_ms}


def request_capacity(processor_cores: float, link_mbit_per_s: float) -> float:
    """Return the requests per second that an instance can forward.

    >>> request_capacity(2.0, 200.0), request_capacity(0.5, 10.0)
    (800.0, 62.5)
    """
    by_processor = REQUESTS_PER_CORE_S * processor_cores
    by_link = link_mbit_per_s * BYTES_PER_MBIT / LINK_BYTES_PER_REQUEST
    return min(by_processor, by_link)
