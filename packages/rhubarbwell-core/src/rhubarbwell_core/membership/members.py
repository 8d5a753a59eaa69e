"""Store the known instances and the precedence of updates about them."""

import zlib
from collections.abc import Iterator
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import Liveness, MemberNews, PeerRecord, ZoneDigest

__all__ = ["MemberRow", "MemberTable", "is_newer"]

# Rows of gone instances are kept this long so that late gossip cannot revive them.
TOMBSTONE_TTL_MS = 600_000


class MemberRow(NamedTuple):
    """Hold the latest update of an instance and the time in ms of its arrival."""

    news: MemberNews
    changed_ms: int


def is_newer(news: MemberNews, known: MemberNews) -> bool:
    """Return True if the update supersedes the one known of the same instance."""
    return _precedence(news) > _precedence(known)


class MemberTable:
    """Store the newest update of each instance, in whatever order they arrive.

    changes grows whenever a row is added, replaced or removed, but not by refresh.
    """

    def __init__(self) -> None:
        self._rows = Table[str, MemberRow]("members")
        self._zones: dict[str, set[str]] = {}
        self._digests: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._gone: set[str] = set()
        self._view_digest = 0
        self.changes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, instance_id: str) -> MemberRow | None:
        """Return the row of an instance, or None if it is unknown."""
        return self._rows.get(instance_id)

    def merge(self, news: MemberNews, now_ms: int) -> bool:
        """Store an update if it supersedes the known one; return True if stored."""
        instance_id = news.heard.instance_id
        known = self._rows.get(instance_id)
        if known is not None and not is_newer(news, known.news):
            return False
        if known is not None:
            self._remove_from_index(known.news)
        self._rows.put(instance_id, MemberRow(news, now_ms))
        self._add_to_index(news)
        return True

    def refresh(self, heard: PeerRecord) -> None:
        """Replace the record of an instance without counting it as a change.

        Raises MissingRowError if the instance is unknown.
        """
        row = self._rows[heard.instance_id]
        self._rows.put(
            heard.instance_id, row._replace(news=row.news._replace(heard=heard))
        )

    def remove_expired(self, now_ms: int) -> None:
        """Remove the instances that have been gone for TOMBSTONE_TTL_MS."""
        for instance_id in list(self._gone):
            row = self._rows[instance_id]
            if now_ms - row.changed_ms >= TOMBSTONE_TTL_MS:
                self._remove_from_index(row.news)
                self._rows.remove(instance_id)

    def suspects(self) -> Iterator[MemberRow]:
        """Yield the rows of suspected instances."""
        return (self._rows[instance_id] for instance_id in sorted(self._suspects))

    def gone(self) -> Iterator[MemberRow]:
        """Yield the rows of gone instances."""
        return (self._rows[instance_id] for instance_id in sorted(self._gone))

    def zones(self) -> list[str]:
        """Return the zones with at least one known instance."""
        return sorted(self._zones)

    def of_zone(self, zone: str) -> list[MemberNews]:
        """Return the updates of a zone's instances, including gone ones."""
        ids = sorted(self._zones.get(zone, ()))
        return [self._rows[instance_id].news for instance_id in ids]

    def live_of_zone(self, zone: str) -> list[PeerRecord]:
        """Return the instances of a zone that are not gone."""
        known = self.of_zone(zone)
        return [news.heard for news in known if news.liveness is not Liveness.GONE]

    def digests(self) -> tuple[ZoneDigest, ...]:
        """Return a digest per zone; equal sets of live rows give equal digests."""
        return tuple(ZoneDigest(*item) for item in sorted(self._digests.items()))

    def view_digest(self) -> int:
        """Return one digest of the live rows of all zones."""
        return self._view_digest

    def _add_to_index(self, news: MemberNews) -> None:
        self.changes += 1
        heard = news.heard
        self._zones.setdefault(heard.zone, set()).add(heard.instance_id)
        if news.liveness is Liveness.GONE:
            self._gone.add(heard.instance_id)
        else:
            self._toggle_digest(heard)
        if news.liveness is Liveness.SUSPECT:
            self._suspects.add(heard.instance_id)

    def _remove_from_index(self, news: MemberNews) -> None:
        self.changes += 1
        heard = news.heard
        if news.liveness is not Liveness.GONE:
            self._toggle_digest(heard)
        self._gone.discard(heard.instance_id)
        self._suspects.discard(heard.instance_id)
        self._zones[heard.zone].discard(heard.instance_id)
        if not self._zones[heard.zone]:
            del self._zones[heard.zone]
            self._digests.pop(heard.zone, None)

    def _toggle_digest(self, heard: PeerRecord) -> None:
        text = f"{heard.instance_id}\n{heard.incarnation}\n{heard.sequence}"
        old = self._digests.get(heard.zone, 0)
        new = old ^ zlib.crc32(text.encode())
        self._digests[heard.zone] = new
        self._view_digest ^= _zone_term(heard.zone, old) ^ _zone_term(heard.zone, new)


def _zone_term(zone: str, digest: int) -> int:
    return zlib.crc32(zone.encode(), digest) if digest else 0


def _precedence(news: MemberNews) -> tuple[int, str, int, Liveness]:
    heard = news.heard
    return (heard.generation, heard.incarnation, heard.sequence, news.liveness)
