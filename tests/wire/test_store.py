"""Tests of the client of the users' metadata store."""

from urllib.parse import parse_qs, urlsplit

from rhubarbwell_core.direct import TableReplica
from rhubarbwell_wire.store import UsersMetadataStore


def row(key, version, **fields):
    return {"key": key, "rowVersion": version, "value": "", **fields}


class PagedClient:
    """Serve a table in pages of one row; a change happens after the first page."""

    def __init__(self):
        self.rows = {"a": row("a", 1), "b": row("b", 2)}
        self.version = 2
        self.changes = []

    async def call(self, kind, method, path, body, **options):
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        if "after" in query:
            changed = [r for r in self.changes if r["rowVersion"] > int(query["after"])]
            return {"rows": changed, "rowVersion": self.version}
        start = query.get("rangeStart", "")
        keys = sorted(key for key in self.rows if key >= start)
        page = {
            "rows": [self.rows[keys[0]]],
            "rowVersion": self.version,
            "hasMore": len(keys) > 1,
        }
        if not start:
            self.version = 3
            self.changes = [row("a", 3, deleted=True)]
            del self.rows["a"]
        return page


async def test_change_between_two_pages_of_a_listing_is_not_lost():
    store, replica = UsersMetadataStore(PagedClient()), TableReplica()
    replica.apply(await store.read_table("servers"))
    replica.apply(await store.read_changes("servers", replica.version, 0))
    listed = {row.key for row in replica.changes_after(0).rows if row.value is not None}
    assert listed == {"b"}
