"""Bring published configurations into force."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from rhubarbwell_core.adoption.alarms import AlarmFilter
from rhubarbwell_core.adoption.log import (
    EMPTY_CHAIN,
    InvalidLogError,
    LogHead,
    LogRow,
    chain_digest,
)
from rhubarbwell_core.adoption.messages import (
    ConfigurationAlarmKind,
    ConfigurationParsed,
    ConfigurationRefused,
    FollowLog,
    HeadRead,
    LogAnswered,
    LogAsk,
    LogAskReceived,
    LogRowsRead,
    ObjectRead,
    ParseConfiguration,
    ReadHead,
    ReadLogRows,
    ReadObject,
    ReadSnapshot,
    RestoreLog,
    SnapshotRead,
)
from rhubarbwell_core.adoption.position import Candidate, LogPosition, pack_document
from rhubarbwell_core.engine import Action, EventHandler
from rhubarbwell_core.engine.systems import Part, PeriodicCall, System
from rhubarbwell_core.messages import ConfigReceived, SendPeerMessage
from rhubarbwell_core.model import Address

__all__ = ["POLLERS_PER_ZONE", "AdoptionPart"]

POLL_PERIOD_MS = 2_000
POLL_CHECK_PERIOD_MS = 250
POLLERS_PER_ZONE = 2
FIRST_RETRY_MS = 250
CALL_TIMEOUT_MS = 8_000
PEER_TIMEOUT_MS = 800
ROWS_PER_READ = 512
READS_BEHIND_UNTIL_RESTORE = 5
# A version from a peer waits this long for the first read of the log. The store usually
# answers within tens of milliseconds.
FIRST_READ_WAIT_MS = 1_000

ConfigListener = Callable[[ConfigReceived, int], Sequence[Action]]


class AdoptionPart(Part):
    """Hold the adopted log position and advance it from the store or from peers.

    is_poller returns True if this instance polls the store for its zone.
    on_configuration puts a parsed configuration into force. on_advanced is called
    after the position has advanced. The position never goes back.

    A restarted instance may hear first from a peer that lags behind its previous
    incarnation. It therefore waits for the head of the log before its first version
    comes into force, unless the store fails or does not answer in time.
    """

    def __init__(
        self,
        rng: Random,
        *,
        is_poller: Callable[[], bool],
        on_configuration: ConfigListener,
        on_advanced: Callable[[int], Sequence[Action]],
    ) -> None:
        self.position = LogPosition()
        self.in_force_version = 0
        self.store_answered_ms: int | None = None
        self.alarms = AlarmFilter()
        self._rng = rng
        self._is_following = False
        self._first_wait_end_ms = 0
        self._parsed_version = 0
        self._is_poller = is_poller
        self._on_configuration = on_configuration
        self._on_advanced = on_advanced
        self._candidate: Candidate | None = None
        self._head = LogHead(0, EMPTY_CHAIN)
        self._call_id = 0
        self._calls_expire_ms = 0
        self._pending_calls: set[int] = set()
        self._peer_ask_due_ms = 0
        self._poll_due_ms = 0
        self._reads_behind = 0
        self._failures = 0

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of answers from the store, peers and the parser."""
        return {
            FollowLog: self._on_follow,
            HeadRead: self._on_head,
            LogRowsRead: self._on_rows,
            SnapshotRead: self._on_snapshot,
            ObjectRead: self._on_object,
            LogAskReceived: self._on_log_asked,
            LogAnswered: self._on_log_answered,
            ConfigurationParsed: self._on_parsed,
            ConfigurationRefused: self._on_refused,
        }

    def systems(self) -> Sequence[System]:
        """Return the system that polls the store."""
        return (PeriodicCall(POLL_CHECK_PERIOD_MS, self.poll),)

    def poll(self, now_ms: int) -> list[Action]:
        """Return a read of the head if a poll is due and no call is pending.

        Only pollers read it, and instances that have not adopted any version. A first
        version that has waited for the log long enough is parsed.
        """
        if not self._is_following:
            return []
        actions = self._parse_if_confirmed(now_ms)
        if self._pending_calls and now_ms < self._calls_expire_ms:
            return actions
        self._pending_calls.clear()
        self._candidate = None
        is_fresh = self.position.version == 0
        if now_ms < self._poll_due_ms or not (is_fresh or self._is_poller()):
            return actions
        jitter = self._rng.uniform(0.8, 1.2)
        self._poll_due_ms = now_ms + round(POLL_PERIOD_MS * jitter)
        return [*actions, ReadHead(self._open_call(now_ms))]

    def observe_peer_version(
        self, address: Address, version: int, now_ms: int
    ) -> list[Action]:
        """Return a log request to the peer if its version is ahead."""
        known = self._candidate or self.position
        if version <= known.version or now_ms < self._peer_ask_due_ms:
            return []
        self._peer_ask_due_ms = now_ms + PEER_TIMEOUT_MS
        ask = LogAsk(self.position.version, self.position.chain)
        return [SendPeerMessage(address, ask)]

    def _on_follow(self, event: FollowLog, now_ms: int) -> list[Action]:
        self._is_following = True
        self._first_wait_end_ms = now_ms + FIRST_READ_WAIT_MS
        return self.poll(now_ms)

    def _on_head(self, event: HeadRead, now_ms: int) -> list[Action]:
        if not self._close_call(event.call_id):
            return []
        if event.head is None:
            return self._schedule_retry(now_ms)
        self.store_answered_ms = now_ms
        self._failures = 0
        head, position = event.head, self.position
        if head.version < position.version:
            return [*self._parse_if_confirmed(now_ms), *self._on_head_behind(head)]
        self._reads_behind = 0
        if head.version == position.version:
            return [*self._parse_if_confirmed(now_ms), *self._on_same_version(head)]
        self._head = head
        call_id = self._open_call(now_ms)
        if position.version == 0 and head.snapshot_version > 0:
            return [ReadSnapshot(call_id, head.snapshot_version)]
        last = min(head.version, position.version + ROWS_PER_READ)
        return [ReadLogRows(call_id, position.version + 1, last)]

    def _on_same_version(self, head: LogHead) -> list[Action]:
        if head.chain == self.position.chain:
            self.alarms.forget_store_alarms()
            return []
        detail = "the table service holds a different log at this version"
        return self.alarms.alarm_if_new(
            ConfigurationAlarmKind.FORKED, head.version, detail
        )

    def _on_head_behind(self, head: LogHead) -> list[Action]:
        self._reads_behind += 1
        if self._reads_behind < READS_BEHIND_UNTIL_RESTORE:
            return []
        self._reads_behind = 0
        detail = (
            f"the head is at version {head.version}, which precedes the adopted version"
        )
        kind = ConfigurationAlarmKind.STORE_BEHIND
        actions = self.alarms.alarm_if_new(kind, self.position.version, detail)
        rows = self.position.rows_after(head.version, head.chain)
        if rows:
            actions.append(self._restore(head, rows))
        return actions

    def _restore(self, head: LogHead, rows: Sequence[LogRow]) -> RestoreLog:
        newest = head._replace(
            version=self.position.version, chain=chain_digest(rows[-1])
        )
        return RestoreLog(head, newest, tuple(rows), self.position.texts())

    def _on_rows(self, event: LogRowsRead, now_ms: int) -> list[Action]:
        if not self._close_call(event.call_id):
            return []
        if event.rows is None:
            return self._schedule_retry(now_ms)
        try:
            candidate = self.position.candidate_after(event.rows)
        except InvalidLogError as exc:
            return self.alarms.alarm_if_new(
                ConfigurationAlarmKind.FORKED, self._head.version, str(exc)
            )
        return self._fetch_missing(candidate, now_ms)

    def _on_snapshot(self, event: SnapshotRead, now_ms: int) -> list[Action]:
        if not self._close_call(event.call_id):
            return []
        snapshot = event.snapshot
        if snapshot is None:
            call_id = self._open_call(now_ms)
            last = min(self._head.version, ROWS_PER_READ)
            return [ReadLogRows(call_id, 1, last)]
        documents = [pack_document(*item) for item in snapshot.documents.items()]
        candidate = self.position.candidate_at(
            snapshot.version, snapshot.chain, documents
        )
        self._poll_due_ms = now_ms
        return self._fetch_missing(candidate, now_ms)

    def _on_object(self, event: ObjectRead, now_ms: int) -> list[Action]:
        if not self._close_call(event.call_id) or self._candidate is None:
            return []
        if event.text is None:
            self._candidate = None
            return self._schedule_retry(now_ms)
        try:
            self._candidate = self._candidate.with_text(event.digest, event.text)
        except InvalidLogError as exc:
            self._candidate = None
            kind = ConfigurationAlarmKind.FORKED
            return self.alarms.alarm_if_new(kind, self._head.version, str(exc))
        return self._advance_if_complete(now_ms)

    def _on_log_asked(self, event: LogAskReceived, now_ms: int) -> list[Action]:
        answer = self.position.answer_to(event.ask)
        return [] if answer is None else [SendPeerMessage(event.address, answer)]

    def _on_log_answered(self, event: LogAnswered, now_ms: int) -> list[Action]:
        self._peer_ask_due_ms = now_ms
        rows, documents, base_version, base_chain = event.answer
        try:
            if base_version:
                candidate = self.position.candidate_at(
                    base_version, base_chain, documents
                )
            else:
                candidate = self.position.candidate_after(rows, documents)
        except InvalidLogError as exc:
            version = base_version or max((row.version for row in rows), default=0)
            kind = ConfigurationAlarmKind.PEER_UNPROVEN
            return self.alarms.alarm_if_new(kind, version, str(exc))
        return self._fetch_missing(candidate, now_ms)

    def _fetch_missing(self, candidate: Candidate | None, now_ms: int) -> list[Action]:
        if candidate is None:
            return []
        known = self._candidate
        if known is not None and known.version >= candidate.version:
            return []
        self._candidate = candidate
        reads = [
            ReadObject(self._open_call(now_ms), digest)
            for digest in candidate.missing_digests()
        ]
        return [*reads, *self._advance_if_complete(now_ms)]

    def _advance_if_complete(self, now_ms: int) -> list[Action]:
        candidate = self._candidate
        if candidate is None or candidate.missing_digests():
            return []
        self._candidate = None
        if not self.position.advance_to(candidate):
            return []
        position = self.position
        if position.version < self._head.version:
            self._poll_due_ms = now_ms
        return [*self._parse_if_confirmed(now_ms), *self._on_advanced(now_ms)]

    def _parse_if_confirmed(self, now_ms: int) -> list[Action]:
        """Return the parsing of the adopted version unless it waits for the log."""
        position = self.position
        if position.version <= self._parsed_version or self._awaits_log(now_ms):
            return []
        self._parsed_version = position.version
        return [ParseConfiguration(position.version, position.chain, position.texts())]

    def _awaits_log(self, now_ms: int) -> bool:
        if self._parsed_version or now_ms >= self._first_wait_end_ms:
            return False
        is_head_unknown = self.store_answered_ms is None
        return is_head_unknown or self.position.version < self._head.version

    def _on_parsed(self, event: ConfigurationParsed, now_ms: int) -> list[Action]:
        cfg = event.configuration
        if cfg.version <= self.in_force_version:
            return []
        self.in_force_version = cfg.version
        return list(self._on_configuration(ConfigReceived(cfg), now_ms))

    def _on_refused(self, event: ConfigurationRefused, now_ms: int) -> list[Action]:
        kind = ConfigurationAlarmKind.REFUSED
        return self.alarms.alarm_if_new(kind, event.version, "; ".join(event.findings))

    def _schedule_retry(self, now_ms: int) -> list[Action]:
        """Schedule the next poll with exponential backoff.

        The backoff is at most POLL_PERIOD_MS before its jitter. A first version that
        waits for the log is parsed.
        """
        wait_ms = min(FIRST_RETRY_MS << min(self._failures, 8), POLL_PERIOD_MS)
        self._failures += 1
        self._poll_due_ms = now_ms + round(wait_ms * self._rng.uniform(0.8, 1.2))
        self._first_wait_end_ms = now_ms
        return self._parse_if_confirmed(now_ms)

    def _open_call(self, now_ms: int) -> int:
        self._call_id += 1
        self._pending_calls.add(self._call_id)
        self._calls_expire_ms = now_ms + CALL_TIMEOUT_MS
        return self._call_id

    def _close_call(self, call_id: int) -> bool:
        if call_id not in self._pending_calls:
            return False
        self._pending_calls.discard(call_id)
        return True
