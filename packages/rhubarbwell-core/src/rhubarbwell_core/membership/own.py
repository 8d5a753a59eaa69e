"""Maintain the row that this instance announces about itself."""

from enum import Enum

from rhubarbwell_core.messages import Liveness, MemberNews, PeerRecord, PeerState
from rhubarbwell_core.model import Identity

__all__ = ["OwnNewsOutcome", "OwnRow"]

STARTUP_GRACE_MS = 30_000


class OwnNewsOutcome(Enum):
    """Represent the result of an update that a peer sends about this instance."""

    IGNORED = "ignored"
    REFUTED = "refuted"
    SUPERSEDED = "superseded"


class OwnRow:
    """Hold the row of this instance and refute wrong updates about it."""

    def __init__(self, identity: Identity, *, now_ms: int) -> None:
        self._started_ms = now_ms
        self.heard = PeerRecord(
            identity.instance_id,
            identity.incarnation,
            identity.zone,
            identity.region,
            identity.callers,
            identity.peers,
            PeerState.JOINING,
            config_version=0,
            sequence=1,
        )

    def update_status(self, *, load: float, config_version: int) -> None:
        """Set the load and configuration version without a new sequence number."""
        self.heard = self.heard._replace(load=load, config_version=config_version)

    def set_state(self, state: PeerState) -> None:
        """Set the state under a new sequence number, so that peers adopt it."""
        sequence = self.heard.sequence + 1
        self.heard = self.heard._replace(state=state, sequence=sequence)

    def reconcile(self, news: MemberNews, now_ms: int) -> OwnNewsOutcome:
        """Refute a wrong update about this instance and return the outcome.

        If another incarnation with the same id has precedence, an instance that
        started at most STARTUP_GRACE_MS ago raises its generation above the other's.
        An instance that has run for longer is superseded.
        """
        heard = news.heard
        if heard.incarnation == self.heard.incarnation:
            return self._refute_if_wrong(news)
        theirs = (heard.generation, heard.incarnation)
        if theirs < (self.heard.generation, self.heard.incarnation):
            return OwnNewsOutcome.IGNORED
        if now_ms - self._started_ms > STARTUP_GRACE_MS:
            return OwnNewsOutcome.SUPERSEDED
        self.heard = self.heard._replace(
            generation=heard.generation + 1, sequence=self.heard.sequence + 1
        )
        return OwnNewsOutcome.REFUTED

    def _refute_if_wrong(self, news: MemberNews) -> OwnNewsOutcome:
        if news.liveness is Liveness.ALIVE:
            return OwnNewsOutcome.IGNORED
        if news.heard.sequence < self.heard.sequence:
            return OwnNewsOutcome.IGNORED
        self.heard = self.heard._replace(sequence=news.heard.sequence + 1)
        return OwnNewsOutcome.REFUTED
