"""What an instance says of itself."""

from enum import Enum

from rhubarbwell_core.messages import Liveness, MemberNews, PeerHeard, PeerState
from rhubarbwell_core.model import Identity

__all__ = ["OwnNewsOutcome", "OwnRow"]

STARTUP_GRACE_MS = 30_000


class OwnNewsOutcome(Enum):
    """Tell what news of oneself come to."""

    IGNORED = "ignored"
    REFUTED = "refuted"
    SUPERSEDED = "superseded"


class OwnRow:
    """Hold the row of this instance and defend it against older news."""

    def __init__(self, identity: Identity, *, now_ms: int) -> None:
        self._started_ms = now_ms
        self.heard = PeerHeard(
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
        """Replace the figures that ride on heartbeats without being news."""
        self.heard = self.heard._replace(load=load, config_version=config_version)

    def set_state(self, state: PeerState) -> None:
        """Change the state, which is news to the others."""
        sequence = self.heard.sequence + 1
        self.heard = self.heard._replace(state=state, sequence=sequence)

    def reconcile(self, news: MemberNews, now_ms: int) -> OwnNewsOutcome:
        """Refute what is wrong of this incarnation; give way to a newer one.

        An instance that has just started outranks the incarnation that it
        finds in its place; one that has run for longer gives way to it.
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
