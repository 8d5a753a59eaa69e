"""Snapshots of all documents, which let a starting instance read a single object."""

import logging
from collections.abc import Mapping

from rhubarbwell_core.adoption import (
    HEAD_KEY,
    LogHead,
    LogSnapshot,
    encode_head,
    encode_snapshot,
    snapshot_key,
)

from rhubarbwell_platform.errors import PlatformError
from rhubarbwell_platform.services import Platform, VersionIs, Write

__all__ = ["write_snapshot_if_due"]

VERSIONS_PER_SNAPSHOT = 64

logger = logging.getLogger(__name__)


async def write_snapshot_if_due(
    platform: Platform, head: LogHead, row_version: int, documents: Mapping[str, str]
) -> LogHead:
    """Write a snapshot if it is due; return the head that names the newest snapshot.

    A failure is only logged, as a snapshot is optional; the head is then returned
    unchanged.
    """
    if head.version - head.snapshot_version < VERSIONS_PER_SNAPSHOT:
        return head
    snapshot = LogSnapshot(head.version, head.chain, documents)
    new_head = head._replace(snapshot_version=head.version)
    write = Write(HEAD_KEY, encode_head(new_head), VersionIs(row_version))
    try:
        key = snapshot_key(head.version)
        await platform.objects.put(key, encode_snapshot(snapshot))
        await platform.tables.transact([write])
    except PlatformError as exc:
        logger.warning("snapshot of version %d not written: %s", head.version, exc)
        return head
    return new_head
