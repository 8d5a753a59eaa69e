"""Tell servers that may have restarted from those that lost single connections."""

from typing import NamedTuple

__all__ = ["MIN_SURVIVAL_MS", "RestartSuspicion", "trial_spread_ms"]

MS_PER_S = 1_000
# A server that ends loses all its connections, whose ends arrive within this time.
MIN_SURVIVAL_MS = 100
# A process does not end, start again and accept connections within this time.
MIN_RESTART_MS = 40
# Share of the cold rate that the trials of the instances without a share of it use.
TRIAL_SHARE = 0.5
MAX_TRIAL_SPREAD_MS = 60_000


class RestartSuspicion(NamedTuple):
    """Hold since when a server may have ended and started again under its id.

    since_ms is the time of the last sign of it. Connections that were opened before
    opened_before_ms are to the incarnation from before the first one. From
    trial_due_ms, an instance without a share of the cold rate may send one request, as
    it would otherwise never learn that the server is warm.

    >>> suspicion = RestartSuspicion.of_loss(1_000, trial_due_ms=5_000)
    >>> suspicion.is_disproved(opened_ms=1_010, now_ms=1_050)
    False
    >>> suspicion.is_disproved(opened_ms=1_010, now_ms=1_100)
    True
    >>> suspicion.is_disproved(opened_ms=1_050, now_ms=1_100)
    False
    """

    since_ms: int
    opened_before_ms: int
    trial_due_ms: int

    @classmethod
    def of_loss(cls, lost_ms: int, trial_due_ms: int) -> "RestartSuspicion":
        """Return the suspicion after a connection that was lost at lost_ms."""
        return cls(lost_ms, lost_ms + MIN_RESTART_MS, trial_due_ms)

    @classmethod
    def of_failed_connect(cls, failed_ms: int, trial_due_ms: int) -> "RestartSuspicion":
        """Return the suspicion after a connection that could not be opened.

        The server may have ended long before.
        """
        return cls(failed_ms, failed_ms, trial_due_ms)

    def renewed(self, now_ms: int) -> "RestartSuspicion":
        """Return the suspicion after a further sign."""
        return self._replace(since_ms=now_ms)

    def is_disproved(self, opened_ms: int, now_ms: int) -> bool:
        """Return True if a connection that is open now has outlived the last sign."""
        has_survived = now_ms - self.since_ms >= MIN_SURVIVAL_MS
        return has_survived and opened_ms < self.opened_before_ms


def trial_spread_ms(instances: int, cold_rate_per_s: float) -> float:
    """Return the time in ms over which the instances distribute their trials.

    >>> trial_spread_ms(12, 6.0)
    4000.0
    """
    trials_per_s = TRIAL_SHARE * cold_rate_per_s
    if trials_per_s * MAX_TRIAL_SPREAD_MS <= MS_PER_S * instances:
        return MAX_TRIAL_SPREAD_MS
    return MS_PER_S * instances / trials_per_s
