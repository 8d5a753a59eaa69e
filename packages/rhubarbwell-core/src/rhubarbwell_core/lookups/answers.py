"""Draw the entry instances that a look-up answers with."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import NamedTuple

from rhubarbwell_core.lookups.directory import InstanceDirectory, OfferedInstance

__all__ = ["LookUpAnswer", "LookUpQuery", "answer_look_up"]

TTL_JITTER = 0.2
OFFERS_IN_FIRST_ZONE = 3
OFFERS_IN_SECOND_ZONE = 2
OFFERS_IN_LATER_ZONES = 1


class LookUpQuery(NamedTuple):
    """Represent a look-up for a service; address is the caller's IP address."""

    service: str
    address: str | None = None
    zone: str | None = None
    wants_ticket: bool = False


class LookUpAnswer(NamedTuple):
    """Hold entry instances in the order to try them, valid for ttl_ms."""

    instances: tuple[OfferedInstance, ...]
    ttl_ms: int
    ticket: str | None = None


def answer_look_up(
    directory: InstanceDirectory,
    zones: Sequence[str],
    *,
    shares: Mapping[str, float],
    ttl_ms: int,
    rng: Random,
    ticket: str | None = None,
) -> LookUpAnswer:
    """Return instances drawn from zones, given in the caller's order of preference.

    The first zone is drawn at random, weighted by shares; the others follow as
    fallbacks in the given order. The answer's ttl_ms is shortened at random by a
    fraction of up to TTL_JITTER.
    """
    order = _zones_in_draw_order(zones, shares, rng)
    offered: list[OfferedInstance] = []
    for index, zone in enumerate(order):
        offered += directory.draw(zone, _offer_count(index), rng)
    jittered_ms = round(ttl_ms * rng.uniform(1.0 - TTL_JITTER, 1.0))
    return LookUpAnswer(tuple(offered), jittered_ms, ticket)


def _zones_in_draw_order(
    zones: Sequence[str], shares: Mapping[str, float], rng: Random
) -> list[str]:
    weights = [shares.get(zone, 0.0) for zone in zones]
    if sum(weights) <= 0.0:
        return list(zones)
    first = rng.choices(zones, weights)[0]
    return [first, *(zone for zone in zones if zone != first)]


def _offer_count(index: int) -> int:
    if index == 0:
        return OFFERS_IN_FIRST_ZONE
    return OFFERS_IN_SECOND_ZONE if index == 1 else OFFERS_IN_LATER_ZONES
