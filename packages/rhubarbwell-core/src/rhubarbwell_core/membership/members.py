"""The table of known instances and the order of what is said of them."""

import zlib
from collections.abc import Iterator
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import Liveness, MemberNews, PeerHeard, ZoneDigest

__all__ = ["MemberRow", "MemberTable", "is_newer"]

TOMBSTONE_TTL_MS = 600_000


class MemberRow(NamedTuple):
    """Hold the latest news of an instance and when it came."""

    news: MemberNews
    changed_ms: int


def is_newer(news: MemberNews, known: MemberNews) -> bool:
    """Return whether the news outweighs what is known of the same instance."""
    return _precedence(news) > _precedence(known)


class MemberTable:
    """Keep the newest news of each instance, whatever order they arrive in.

    changes counts the changes of any row but those of refresh.
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
        """Return the row of an instance, None for an unknown one."""
        return self._rows.get(instance_id)

    def merge(self, news: MemberNews, now_ms: int) -> bool:
        """Take in news; return False if what is known outweighs them."""
        instance_id = news.heard.instance_id
        known = self._rows.get(instance_id)
        if known is not None and not is_newer(news, known.news):
            return False
        if known is not None:
            self._unindex(known.news)
        self._rows.put(instance_id, MemberRow(news, now_ms))
        self._index(news)
        return True

    def refresh(self, heard: PeerHeard) -> None:
        """Replace what an instance measures of itself without making it news."""
        row = self._rows[heard.instance_id]
        self._rows.put(
            heard.instance_id, row._replace(news=row.news._replace(heard=heard))
        )

    def remove_expired(self, now_ms: int) -> None:
        """Forget the instances that have been gone for long."""
        for instance_id in list(self._gone):
            row = self._rows[instance_id]
            if now_ms - row.changed_ms >= TOMBSTONE_TTL_MS:
                self._unindex(row.news)
                self._rows.remove(instance_id)

    def suspects(self) -> Iterator[MemberRow]:
        """Yield the rows of suspected instances."""
        return (self._rows[instance_id] for instance_id in sorted(self._suspects))

    def gone(self) -> Iterator[MemberRow]:
        """Yield the rows of instances that are gone."""
        return (self._rows[instance_id] for instance_id in sorted(self._gone))

    def zones(self) -> list[str]:
        """Return the zones of which any instance is known."""
        return sorted(self._zones)

    def of_zone(self, zone: str) -> list[MemberNews]:
        """Return the news of a zone's instances, those gone included."""
        ids = sorted(self._zones.get(zone, ()))
        return [self._rows[instance_id].news for instance_id in ids]

    def live_of_zone(self, zone: str) -> list[PeerHeard]:
        """Return the instances of a zone that are not gone."""
        known = self.of_zone(zone)
        return [news.heard for news in known if news.liveness is not Liveness.GONE]

    def digests(self) -> tuple[ZoneDigest, ...]:
        """Return a digest per zone, equal for equal live instances."""
        return tuple(ZoneDigest(*item) for item in sorted(self._digests.items()))

    def view_digest(self) -> int:
        """Return one digest of all zones."""
        return self._view_digest

    def _index(self, news: MemberNews) -> None:
        self.changes += 1
        heard = news.heard
        self._zones.setdefault(heard.zone, set()).add(heard.instance_id)
        if news.liveness is Liveness.GONE:
            self._gone.add(heard.instance_id)
        else:
            self._toggle_digest(heard)
        if news.liveness is Liveness.SUSPECT:
            self._suspects.add(heard.instance_id)

    def _unindex(self, news: MemberNews) -> None:
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

    def _toggle_digest(self, heard: PeerHeard) -> None:
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
