"""Probes that have been sent and not yet answered."""

from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.model import Address

__all__ = ["PROBE_TIMEOUT_MS", "Probe", "ProbeTable"]

PROBE_TIMEOUT_MS = 700


class Probe(NamedTuple):
    """Record a probe; instance_id is None for an address without a known row."""

    probe_id: int
    address: Address
    instance_id: str | None
    zone: str | None
    sent_ms: int


class ProbeTable:
    """Match answers to probes and tell which have run out of time."""

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
        """Record a probe that is about to be sent."""
        probe = Probe(self._next_id, address, instance_id, zone, now_ms)
        self._next_id += 1
        self._open.insert(probe.probe_id, probe)
        return probe

    def close(self, probe_id: int) -> Probe | None:
        """Close a probe that was answered; return None if it was closed before."""
        return self._open.remove(probe_id)

    def expire(self, now_ms: int) -> list[Probe]:
        """Close and return the probes whose time-out has passed."""
        expired = [
            probe
            for probe in self._open.rows()
            if now_ms - probe.sent_ms >= PROBE_TIMEOUT_MS
        ]
        for probe in expired:
            self._open.remove(probe.probe_id)
        return expired
