"""Learn at which concurrency the work of a backend server gets slower."""

from math import exp, inf, log

__all__ = ["ConcurrencyLimit", "UnloadedTimes"]

# The minimum that keeps a server in use, so that its recovery is noticed.
MIN_LIMIT = 1.0
# Share of the limit up to which an answer's time tells the speed of the server, and
# that from which it tells whether the limit holds.
UNLOADED_SHARE = 0.75
NEAR_LIMIT_SHARE = 0.9
# Weight of an answer's slowness in the logarithm of the limit, and the growth of that
# with each answer near the limit. The limit settles where work takes longer by their
# ratio, 12 %. Chance alone, with times that vary by 40 %, moves it by a tenth.
LIMIT_SMOOTHING = 0.25
GROWTH_PER_ANSWER = 0.03
# The growth rises with the number of answers in a row whose slowness is at most this,
# by its first amount for each so many answers, so that a recovery is followed in time.
MAX_FAST_ERROR = 0.15
ANSWERS_PER_GROWTH = 4
MAX_GROWTH_FACTOR = 4.0
# Growth per second, in its logarithm, of a limit that no answer has tested for a time.
UNTESTED_MS = 1_500
GROWTH_PER_S = 0.3
# Bound of one answer's slowness, in its logarithm: a cache miss or a stall says nothing
# about the concurrency.
MAX_SLOWNESS = 0.5
# Weight of an answer in the logarithm of a server's speed, by concurrency.
SPEED_SMOOTHING = 0.15
LOADED_SPEED_SMOOTHING = 0.02
# Answers whose plain mean starts the average of a route, and the weight of later ones,
# which must move it slowly, as all servers are compared with it.
FIRST_ANSWERS = 30
TIME_SMOOTHING = 0.01
# Load per limit up to which requests are admitted, by priority; the last value applies
# to all lower priorities. Load reports are late, and the most urgent requests need room
# beside others that fill the limit.
MAX_LOADS = (1.5, 1.25, 1.0)
# Shares of the slots between which a limit is told from chance the less, the higher it
# is. Above them, the admission rule for queues applies alone.
KNEE_SHARE = 0.72
FULL_SHARE = 0.85
# Load per slot above that of a limit at FULL_SHARE, where no limit is told from chance.
MAX_QUEUE_PER_SLOT = 2.0
MS_PER_S = 1_000


class UnloadedTimes:
    """Average the logarithm of a route's processing time at servers with few requests.

    Only requests whose object the server held count, so that cold caches have no part.

    >>> times = UnloadedTimes()
    >>> for _ in range(60):
    ...     times.learn("read", 100.0, initial_ms=50.0)
    >>> round(times.slowness("read", 200.0, initial_ms=50.0), 2)
    0.69
    """

    def __init__(self) -> None:
        # Average and number of its answers by route.
        self._averages: dict[str, tuple[float, int]] = {}

    def slowness(self, route: str, processing_ms: float, *, initial_ms: float) -> float:
        """Return the logarithm of a time over the average of its route.

        initial_ms stands for the average before the first answer.
        """
        average, _ = self._averages.get(route, (log(initial_ms), 0))
        return log(processing_ms) - average

    def learn(self, route: str, processing_ms: float, *, initial_ms: float) -> None:
        """Update the average with an answer of a server that had few requests."""
        average, answers = self._averages.get(route, (log(initial_ms), 0))
        error = log(processing_ms) - average
        smoothing = TIME_SMOOTHING
        if answers < FIRST_ANSWERS:
            smoothing = 1.0 / (answers + 1)
        else:
            error = min(max(error, -MAX_SLOWNESS), MAX_SLOWNESS)
        self._averages[route] = (average + smoothing * error, answers + 1)


class ConcurrencyLimit:
    """Learn the limit of one server: the concurrency from which its work gets slower.

    Above the limit, work is expected to take longer in proportion to the number of
    requests in progress: the server then finishes no more than at the limit. An answer
    near the limit that took longer than that lowers the limit, one that took as long
    as with few requests raises it. Answers far below the limit tell the server's speed.
    """

    __slots__ = ("_fast_answers", "_learned_ms", "_limit", "_speed")

    def __init__(self) -> None:
        self._limit = inf
        self._learned_ms = 0
        # Answers near the limit since the last slow one.
        self._fast_answers = 0
        # Logarithm of the server's time, relative to the average of the servers.
        self._speed = 0.0

    def value(self, slots: int, now_ms: int) -> float:
        """Return the limit, at most the slots."""
        if self._limit == inf:
            return slots
        age_s = max(now_ms - self._learned_ms - UNTESTED_MS, 0) / MS_PER_S
        return min(self._limit * exp(GROWTH_PER_S * age_s), slots)

    def expected_slowness(self, concurrency: float, slots: int, now_ms: int) -> float:
        """Return how many times longer work takes with `concurrency` requests."""
        return max(1.0, concurrency / self.value(slots, now_ms))

    def admits(self, load: float, priority: int, slots: int, now_ms: int) -> bool:
        """Return False if a further request would make all at the server slower."""
        limit = self.value(slots, now_ms)
        doubt = (limit / slots - KNEE_SHARE) / (FULL_SHARE - KNEE_SHARE)
        if doubt >= 1.0:
            return True
        queue = MAX_QUEUE_PER_SLOT * slots * max(doubt, 0.0)
        max_load = MAX_LOADS[min(priority, len(MAX_LOADS) - 1)]
        return load < max_load * limit + 1.0 + queue

    def is_loaded(self, concurrency: float, slots: int, now_ms: int) -> bool:
        """Return True if the concurrency may explain a part of an answer's time."""
        return concurrency > UNLOADED_SHARE * self.value(slots, now_ms)

    def learn(
        self, concurrency: float, slowness: float, slots: int, now_ms: int
    ) -> None:
        """Learn from an answer.

        concurrency is the number of requests that were in progress at the server, the
        answered one included. slowness is the logarithm of the answer's time over the
        expected one, the expected slowness included.
        """
        limit = self.value(slots, now_ms)
        error = min(max(slowness - self._speed, -MAX_SLOWNESS), MAX_SLOWNESS)
        is_loaded = self.is_loaded(concurrency, slots, now_ms)
        self._speed += error * (
            LOADED_SPEED_SMOOTHING if is_loaded else SPEED_SMOOTHING
        )
        if concurrency < NEAR_LIMIT_SHARE * limit:
            return
        self._fast_answers = 0 if error > MAX_FAST_ERROR else self._fast_answers + 1
        growth = min(1.0 + self._fast_answers / ANSWERS_PER_GROWTH, MAX_GROWTH_FACTOR)
        limit *= exp(growth * GROWTH_PER_ANSWER - LIMIT_SMOOTHING * error)
        self._limit = max(limit, MIN_LIMIT) if limit < slots else inf
        self._learned_ms = now_ms
