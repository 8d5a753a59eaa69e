"""Answers to look-ups: which entry instances a caller should use."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from rhubarbwell_core.messages import PeerHeard, PeerState
from rhubarbwell_core.model import Address

__all__ = ["LookUpAnswer", "LookUpQuery", "OfferedInstance", "answer_look_up"]

TTL_JITTER = 0.2


class LookUpQuery(NamedTuple):
    """Ask for the entry instances of a service; address is the caller's IP."""

    service: str
    address: str | None = None
    zone: str | None = None
    wants_ticket: bool = False


class OfferedInstance(NamedTuple):
    """Offer one entry instance; weights of a zone add up to 1."""

    instance_id: str
    zone: str
    address: Address
    weight: float


class LookUpAnswer(NamedTuple):
    """List entry instances, nearest zone first, good for ttl_ms."""

    instances: tuple[OfferedInstance, ...]
    ttl_ms: int
    ticket: str | None = None


def answer_look_up(
    peers: Iterable[PeerHeard],
    zone_preference: tuple[str, ...],
    *,
    ttl_ms: int,
    rng: Random,
    ticket: str | None = None,
) -> LookUpAnswer:
    """Order the ready instances by zone and weigh them by their free share."""
    ready = [peer for peer in peers if peer.state is PeerState.READY]
    order = {zone: place for place, zone in enumerate(zone_preference)}
    free = {peer.instance_id: max(0.05, 1.0 - peer.load) for peer in ready}
    totals: dict[str, float] = {}
    for peer in ready:
        totals[peer.zone] = totals.get(peer.zone, 0.0) + free[peer.instance_id]
    ready.sort(key=lambda peer: (order.get(peer.zone, len(order)), peer.zone))
    offered = tuple(
        OfferedInstance(
            peer.instance_id,
            peer.zone,
            peer.callers,
            round(free[peer.instance_id] / totals[peer.zone], 4),
        )
        for peer in ready
    )
    jittered_ms = round(ttl_ms * rng.uniform(1.0 - TTL_JITTER, 1.0))
    return LookUpAnswer(offered, jittered_ms, ticket)
