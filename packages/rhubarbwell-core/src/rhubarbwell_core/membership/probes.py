"""Track the probes that are sent and not yet answered."""

from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.model import Address

__all__ = ["PROBE_TIMEOUT_MS", "Probe", "ProbeTable"]

PROBE_TIMEOUT_MS = 700


class Probe(NamedTuple):
    """Represent a probe; instance_id is None for an address without a known row."""

    probe_id: int
    address: Address
    instance_id: str | None
    zone: str | None
    sent_ms: int


class ProbeTable:
    """Store open probes, match answers to them and expire them."""

    def __init__(self) -> None:
        self._open = Table[int, Probe]("probes")
        self._next_id = 1

    def open(
        self,
        address: Address,
        now_ms: int,
        *,
        instance_id: str | None = None,
        zone: str | None = None,
    ) -> Probe:
        """Add and return a probe that is about to be sent."""
        probe = Probe(self._next_id, address, instance_id, zone, now_ms)
        self._next_id += 1
        self._open.insert(probe.probe_id, probe)
        return probe

    def close(self, probe_id: int) -> Probe | None:
        """Remove and return an answered probe, or None if it is not open."""
        return self._open.remove(probe_id)

    def expire(self, now_ms: int) -> list[Probe]:
        """Remove and return the probes that are open for PROBE_TIMEOUT_MS or more."""
        expired = [
            probe
            for probe in self._open.rows()
            if now_ms - probe.sent_ms >= PROBE_TIMEOUT_MS
        ]
        for probe in expired:
            self._open.remove(probe.probe_id)
        return expired
