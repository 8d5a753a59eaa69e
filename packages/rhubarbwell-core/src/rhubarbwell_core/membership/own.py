"""What an instance says of itself."""

from enum import Enum

from rhubarbwell_core.messages import Liveness, MemberNews, PeerHeard, PeerState
from rhubarbwell_core.model import Identity

__all__ = ["OwnRow", "Verdict"]

YOUNG_MS = 30_000


class Verdict(Enum):
    """Tell what news of oneself come to."""

    IGNORED = "ignored"
    REFUTED = "refuted"
    SUPERSEDED = "superseded"


class OwnRow:
    """Hold the row of this instance and defend it against older news."""

    def __init__(self, identity: Identity, *, now_ms: int) -> None:
        self._born_ms = now_ms
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

    def measure(self, *, load: float, config_version: int) -> None:
        """Replace the figures that ride on heartbeats without being news."""
        self.heard = self.heard._replace(load=load, config_version=config_version)

    def enter(self, state: PeerState) -> None:
        """Change the state, which is news to the others."""
        sequence = self.heard.sequence + 1
        self.heard = self.heard._replace(state=state, sequence=sequence)

    def judge(self, news: MemberNews, now_ms: int) -> Verdict:
        """Refute what is wrong of this incarnation; give way to a newer one.

        An instance that has just started outranks the incarnation that it
        finds in its place; one that has run for longer gives way to it.
        """
        heard = news.heard
        if heard.incarnation == self.heard.incarnation:
            return self._judge_same(news)
        theirs = (heard.generation, heard.incarnation)
        if theirs < (self.heard.generation, self.heard.incarnation):
            return Verdict.IGNORED
        if now_ms - self._born_ms > YOUNG_MS:
            return Verdict.SUPERSEDED
        self.heard = self.heard._replace(
            generation=heard.generation + 1, sequence=self.heard.sequence + 1
        )
        return Verdict.REFUTED

    def _judge_same(self, news: MemberNews) -> Verdict:
        if news.liveness is Liveness.ALIVE:
            return Verdict.IGNORED
        if news.heard.sequence < self.heard.sequence:
            return Verdict.IGNORED
        self.heard = self.heard._replace(sequence=news.heard.sequence + 1)
        return Verdict.REFUTED
