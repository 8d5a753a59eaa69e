"""The table of the region's backend servers and the choice among them."""

from collections.abc import Collection
from random import Random
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.messages import (
    BackendLeaving,
    BackendReturned,
    ConnectionSilent,
    LoadReported,
)
from rhubarbwell_core.model import Address, Configuration

__all__ = ["BackendRow", "BackendTable"]

FRESH_CONNECTIONS_MS = 5_000


class BackendRow(NamedTuple):
    """Hold what is known of one backend server."""

    backend_id: str
    service: str
    zone: str
    address: Address
    slots: int
    in_flight: int = 0
    reported: LoadReported | None = None
    draining: bool = False
    fresh_until_ms: int = 0


class BackendTable:
    """Know the region's backend servers and choose among them."""

    def __init__(self, region: str, rng: Random) -> None:
        self.rows = Table[str, BackendRow]("backends")
        self._region = region
        self._rng = rng

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take the region's backend servers from the configuration."""
        zones = {
            zone.name
            for zone in configuration.deployment.zones
            if zone.region == self._region
        }
        known = {row.backend_id: row for row in self.rows.rows()}
        for backend_id in known:
            self.rows.remove(backend_id)
        for name, service in configuration.services.items():
            for spec in service.backends:
                if spec.zone not in zones:
                    continue
                address = Address(spec.host, spec.port)
                row = BackendRow(spec.backend_id, name, spec.zone, address, spec.slots)
                old = known.get(spec.backend_id, row)
                self.rows.insert(
                    spec.backend_id,
                    row._replace(
                        in_flight=old.in_flight,
                        reported=old.reported,
                        draining=spec.draining,
                    ),
                )

    def on_load(self, event: LoadReported, now_ms: int) -> list[Action]:
        """Take in a report of load."""
        row = self.rows.get(event.backend_id)
        if row is not None:
            draining = row.draining or event.draining
            self.rows.put(
                row.backend_id, row._replace(reported=event, draining=draining)
            )
        return []

    def on_leaving(self, event: BackendLeaving, now_ms: int) -> list[Action]:
        """Give a leaving backend server no new work."""
        row = self.rows.get(event.backend_id)
        if row is not None:
            self.rows.put(row.backend_id, row._replace(draining=True))
        return []

    def on_returned(self, event: BackendReturned, now_ms: int) -> list[Action]:
        """Use a backend server again."""
        row = self.rows.get(event.backend_id)
        if row is not None:
            self.rows.put(row.backend_id, row._replace(draining=False))
        return []

    def on_connection_silent(
        self, event: ConnectionSilent, now_ms: int
    ) -> list[Action]:
        """Use new connections to the backend server for a while."""
        row = self.rows.get(event.backend_id)
        if row is not None:
            until_ms = now_ms + FRESH_CONNECTIONS_MS
            self.rows.put(row.backend_id, row._replace(fresh_until_ms=until_ms))
        return []

    def choose(
        self, service: str, zones: Collection[str], exclude: Collection[str]
    ) -> BackendRow | None:
        """Return the less busy of two random backend servers, None without one."""
        able = [
            row
            for row in self.rows.rows()
            if row.service == service
            and row.zone in zones
            and not row.draining
            and row.backend_id not in exclude
            and (row.reported is None or row.reported.healthy)
        ]
        if not able:
            return None
        pair = self._rng.sample(able, min(2, len(able)))
        return min(pair, key=lambda row: row.in_flight)

    def started(self, backend_id: str) -> None:
        """Count an attempt that is about to be sent."""
        row = self.rows[backend_id]
        self.rows.put(backend_id, row._replace(in_flight=row.in_flight + 1))

    def ended(self, backend_id: str) -> None:
        """Count an attempt that has ended."""
        row = self.rows.get(backend_id)
        if row is not None:
            self.rows.put(backend_id, row._replace(in_flight=row.in_flight - 1))
