"""An instance's view of the fleet, built from the rows of the store."""

import asyncio
import contextlib
import logging
from collections.abc import Mapping, Sequence

from rhubarbwell_core.direct import (
    NO_VERSION,
    InstanceEntry,
    InstanceTable,
    LoadBalancer,
    ReplicaRow,
    ReplicaUpdate,
    RoutingConfig,
    StoreVersion,
    TableReplica,
)
from rhubarbwell_platform.services import EraTracker

from rhubarbwell_entry.direct.ages import OlderRowFilter
from rhubarbwell_entry.direct.changes import ChangesResponse, ConfigCopy
from rhubarbwell_entry.direct.evacuations import EvacuatedZones
from rhubarbwell_entry.direct.registrations import decode_instance
from rhubarbwell_entry.direct.restoration import StoreRestoration
from rhubarbwell_entry.direct.unapplied import UnappliedRows
from rhubarbwell_entry.direct.wire import (
    BackendAge,
    DirectPlatform,
    RowDecodingError,
)
from rhubarbwell_entry.logs import log_event

__all__ = ["FleetState"]

_log = logging.getLogger(__name__)


class FleetState:
    """Apply rows of the store to the load balancer and the instance table."""

    def __init__(
        self,
        platform: DirectPlatform,
        balancer: LoadBalancer,
        instances: InstanceTable,
    ) -> None:
        names = platform.names
        self.balancer = balancer
        self._platform = platform
        self.instances = instances
        self.eras = EraTracker()
        self._era_start_ms = 0
        self.replicas = {
            names.operator_table: TableReplica(),
            names.backend_table: TableReplica(self._backend_content_key),
            names.instance_table: TableReplica(),
        }
        self.restoration = StoreRestoration(self.replicas)
        # Time in ms up to which the copy of each table is known to match the store.
        self.synced_until_ms = dict.fromkeys(self.replicas, 0)
        # Without the instance table: heartbeats change it continuously and can wait.
        self._urgent_tables = frozenset({names.operator_table, names.backend_table})
        self._urgent_change = asyncio.Event()
        self._older_rows = OlderRowFilter(platform.decode_backend_age)
        self._evacuations = EvacuatedZones()
        self._evacuated_zones: frozenset[str] = frozenset()
        self._unapplied = {name: UnappliedRows(name) for name in self.replicas}
        # The newest configuration that is known and its row; it is not in force while
        # the instance asks others for a newer one.
        self._newest_config: tuple[RoutingConfig, ConfigCopy] | None = None
        self._holds_config = False
        # Configuration versions of instances that have a newer one in force.
        self._newer_configs: dict[str, int] = {}
        # Numbers of live and of sharing instances that were logged last.
        self._shared_among = (0, 0)
        self._row_appliers = {
            names.operator_table: self._apply_operator_rows,
            names.backend_table: self._apply_backend_rows,
            names.instance_table: self._apply_instance_rows,
        }

    def apply(
        self, table: str, update: ReplicaUpdate, now_ms: int, *, age_ms: int = 0
    ) -> None:
        """Apply an update of a table that was read from the store age_ms ago.

        A row that cannot be applied is logged and leaves the others applied. Tables
        that this instance does not follow are ignored, as are late updates of an era
        of the store before the current one.
        """
        replica = self.replicas.get(table)
        if update.version.era > self.eras.current:
            self.eras.observe(update.version.era)
        if replica is None or not self._is_current(replica, update):
            return
        known_version = replica.version
        older = 0
        if table == self._platform.names.operator_table:
            update = self._without_keys(update)
        if table == self._platform.names.backend_table:
            update, older = self._older_rows.filter(replica, update, now_ms)
        changed = self._unapplied[table].take_with(replica.apply(update))
        if known_version > NO_VERSION and known_version.era < update.version.era:
            missing = sum(row.value is None for row in changed)
            self.restoration.record_table(table, missing, older)
            changed = self._hold_missing_rows(table, changed, now_ms)
        self.synced_until_ms[table] = max(self.synced_until_ms[table], now_ms - age_ms)
        is_first_listing = known_version == NO_VERSION
        if is_first_listing and table == self._platform.names.instance_table:
            self._apply_first_instance_rows(changed, now_ms)
        else:
            self._row_appliers[table](changed, now_ms)
        if table == self._platform.names.instance_table:
            self.instances.mark_synced(self.synced_until_ms[table])
        if changed and table in self._urgent_tables:
            self._urgent_change.set()
            self._urgent_change = asyncio.Event()

    def _without_keys(self, update: ReplicaUpdate) -> ReplicaUpdate:
        rows = [
            row
            if row.value is None
            else row._replace(value=self._platform.without_keys(row.key, row.value))
            for row in update.rows
        ]
        return update._replace(rows=rows)

    def config_age_ms(self, now_ms: int) -> int:
        """Return the time in ms since the configuration matched the store's."""
        return now_ms - self.synced_until_ms[self._platform.names.operator_table]

    def begin_era(self, old_era: int, new_era: int, now_ms: int) -> None:
        """Record that the store has begun a new era, whose rows may lack some."""
        self.restoration.begin(old_era, new_era, now_ms)
        self._set_era_start(now_ms)

    def era_age_ms(self, now_ms: int) -> int:
        """Return the time in ms since the store's current era was first seen."""
        return now_ms - self._era_start_ms

    def _set_era_start(self, start_ms: int) -> None:
        self._era_start_ms = start_ms
        self.balancer.backends.mark_store_restored(start_ms)

    def apply_response(self, resp: ChangesResponse, now_ms: int) -> None:
        """Apply the tables of another instance, unless they are of an earlier era."""
        if resp.era < self.eras.current:
            # The version of a configuration, unlike that of a row, is of no era.
            self.apply_config_copy(resp.config)
            return
        if resp.era > self.eras.current:
            self.eras.observe(resp.era)
            # The grace periods of all instances end at the same time.
            self._set_era_start(now_ms - resp.era_age_ms)
        self.apply_config_copy(resp.config)
        self._older_rows.add_gone_ages(resp.gone, now_ms)
        for name, update in resp.tables.items():
            self.apply(name, update, now_ms, age_ms=resp.ages_ms[name])

    def gone_ages(
        self, tables: Mapping[str, ReplicaUpdate], now_ms: int
    ) -> dict[str, BackendAge]:
        """Return the last ages of the servers that updates of the tables delete."""
        update = tables[self._platform.names.backend_table]
        return self._older_rows.gone_ages(update, now_ms)

    def _hold_missing_rows(
        self, table: str, changed: Sequence[ReplicaRow], now_ms: int
    ) -> list[ReplicaRow]:
        """Return the rows to apply of the first listing of a later era.

        A row that is missing in it may have been lost: its writer then writes it again.
        Servers have a grace period, see BackendTable.remove; what the missing rows of
        operators and instances said is held.
        """
        names = self._platform.names
        if table == names.backend_table:
            return list(changed)
        for row in changed:
            if row.value is not None:
                continue
            if table == names.instance_table:
                self.instances.hold(row.key)
                continue
            zone = self._platform.evacuated_zone(row.key)
            if zone is not None:
                self._evacuations.hold(zone, now_ms)
        return [row for row in changed if row.value is not None]

    def _is_current(self, replica: TableReplica, update: ReplicaUpdate) -> bool:
        return update.version.era == self.eras.current and replica.accepts(update)

    def has_urgent_changes_after(
        self, known_versions: Mapping[str, StoreVersion]
    ) -> bool:
        """Return True if an urgent table has changes after the known versions."""
        return any(
            self.replicas[name].has_changes_after(version)
            for name, version in known_versions.items()
            if name in self._urgent_tables
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after a change in an urgent table or after timeout_s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._urgent_change.wait()

    @property
    def is_configured(self) -> bool:
        """Return True if a configuration is in force."""
        return self.balancer.config is not None

    @property
    def known_config_version(self) -> int:
        """Return the version of the newest configuration that is known, else 0."""
        return 0 if self._newest_config is None else self._newest_config[0].version

    def config_copy_after(self, version: int | None) -> ConfigCopy | None:
        """Return the configuration in force if it is newer than a version."""
        if self._newest_config is None or version is None:
            return None
        config, copy = self._newest_config
        is_in_force = self.balancer.config is config
        return copy if is_in_force and config.version > version else None

    def apply_config_copy(self, copy: ConfigCopy | None) -> None:
        """Apply the configuration of another instance if it is newer."""
        if copy is not None and copy.version > self.known_config_version:
            value = self._platform.without_keys(copy.key, copy.value)
            self._apply_config_row(ReplicaRow(copy.key, NO_VERSION, value))

    def hold_config(self) -> None:
        """Put no configuration with accounts in force until release_config."""
        self._holds_config = True

    def release_config(self) -> None:
        """Put the newest known configuration in force, and later ones at once."""
        self._holds_config = False
        self._put_newest_in_force()

    def note_newer_config(self, instance_id: str, version: int) -> None:
        """Record that an instance has a configuration, which may be newer."""
        if version > self.known_config_version:
            self._newer_configs[instance_id] = version

    def take_newer_configs(self) -> list[str]:
        """Return the instances recorded since the last call that have a newer one."""
        newer, self._newer_configs = self._newer_configs, {}
        known_version = self.known_config_version
        return [name for name, version in newer.items() if version > known_version]

    def _backend_content_key(self, key: str, value: bytes) -> object:
        """Return the content of a server's row without its heartbeat fields.

        An update that leaves this key unchanged does not count as a change.
        """
        try:
            return self._platform.decode_backend(key, value)
        except RowDecodingError:
            return value

    def _apply_operator_rows(self, rows: Sequence[ReplicaRow], now_ms: int) -> None:
        def apply_row(row: ReplicaRow) -> None:
            zone = self._platform.evacuated_zone(row.key)
            if zone is not None:
                self._evacuations.set(zone, row.value is not None)
            elif row.value is not None:
                self._apply_config(row)

        self._unapplied[self._platform.names.operator_table].apply_each(rows, apply_row)
        if not self.is_configured and self._newest_config is not None:
            # It came from another instance before this table was listed.
            copy = self._newest_config[1]
            self._apply_config_row(ReplicaRow(copy.key, NO_VERSION, copy.value))
        zones = self._evacuations.current(now_ms)
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self.balancer.set_evacuated_zones(zones, now_ms)
            log_event(
                _log,
                logging.INFO,
                "zones_evacuated",
                "the set of evacuated zones has changed",
                zones=sorted(zones),
            )

    def _apply_config_row(self, row: ReplicaRow) -> None:
        """Apply a configuration that no update of the table brought."""
        table = self._platform.names.operator_table
        self._unapplied[table].apply_each([row], self._apply_config)

    def _apply_config(self, row: ReplicaRow) -> None:
        assert row.value is not None
        try:
            config = self._platform.decode_config(row.key, row.value)
        except RowDecodingError as exc:
            _log_unreadable_row("configuration", row, exc)
            return
        if config is None or config.version < self.known_config_version:
            return
        # One that could not be put in force is tried again.
        if self.balancer.config and self.balancer.config.version >= config.version:
            return
        copy = ConfigCopy(config.version, row.key, row.value)
        self._newest_config = config, copy
        self._put_newest_in_force(row.version)

    def _put_newest_in_force(self, row_version: StoreVersion = NO_VERSION) -> None:
        if self._newest_config is None:
            return
        config, copy = self._newest_config
        # The instance is ready with a configuration, and knows no servers before.
        listed_version = self.replicas[self._platform.names.operator_table].version
        is_held = self._holds_config and config.accounts is not None
        if is_held or listed_version == NO_VERSION:
            return
        if not self.balancer.configure(config):
            return
        self._urgent_change.set()
        self._urgent_change = asyncio.Event()
        log_event(
            _log,
            logging.INFO,
            "config_in_force",
            "a configuration is in force",
            version=copy.version,
            row_version=row_version.number,
            era=row_version.era,
            routes=len(config.routes),
            split_routes=sum(len(route.parts) > 1 for route in config.routes),
        )
        self._log_accounts(config)

    def _log_accounts(self, config: RoutingConfig) -> None:
        accounts = self.balancer.accounts
        if config.accounts is None or accounts is None:
            return
        log_event(
            _log,
            logging.INFO,
            "accounts_in_force",
            "requests on routes that are not public need the key of an account",
            version=config.version,
            accounts=len(config.accounts),
            public_routes=sum(route.is_public for route in config.routes),
        )
        if accounts.ambiguous_names:
            log_event(
                _log,
                logging.WARNING,
                "account_key_ambiguous",
                "accounts have a key in common, which identifies none of them",
                version=config.version,
                accounts=sorted(accounts.ambiguous_names),
            )

    def _apply_backend_rows(self, rows: Sequence[ReplicaRow], now_ms: int) -> None:
        table = self._platform.names.backend_table
        self._unapplied[table].apply_each(
            rows, lambda row: self._apply_backend_row(row, now_ms)
        )

    def _apply_backend_row(self, row: ReplicaRow, now_ms: int) -> None:
        backends = self.balancer.backends
        if row.value is None:
            backends.remove(row.key, now_ms)
            # A server may stay in use for a while, see BackendTable.remove.
            is_kept = row.key in backends.rows
            self._log_backend("backend_removed", row, "gone", is_kept=is_kept)
            return
        try:
            entry = self._platform.decode_backend(row.key, row.value)
        except RowDecodingError as exc:
            _log_unreadable_row("backend server", row, exc)
            backends.remove(row.key, now_ms)
            return
        known = backends.rows.get(row.key)
        has_restarted = known is not None and known.entry.born_ms != entry.born_ms
        if known is None or has_restarted or known.entry.draining != entry.draining:
            state = "draining" if entry.draining else "ready"
            self._log_backend(
                "backend_changed",
                row,
                state,
                cold_ms=entry.cold_ms,
                has_restarted=has_restarted,
            )
        backends.put(entry, now_ms)

    def instance_row(self, instance_id: str) -> ReplicaRow | None:
        """Return an instance's row, None if it is unknown."""
        return self.replicas[self._platform.names.instance_table].row(instance_id)

    def instance_row_version(self, instance_id: str) -> StoreVersion:
        """Return the version of an instance's row, NO_VERSION if it is unknown."""
        replica = self.replicas[self._platform.names.instance_table]
        return replica.row_version(instance_id)

    def _apply_first_instance_rows(
        self, rows: Sequence[ReplicaRow], now_ms: int
    ) -> None:
        entries = [_decode_instance_row(row) for row in rows if row.value is not None]
        self.instances.put_listed(filter(None, entries), now_ms)
        self._share_limits()

    def _apply_instance_rows(self, rows: Sequence[ReplicaRow], now_ms: int) -> None:
        table = self._platform.names.instance_table
        self._unapplied[table].apply_each(
            rows, lambda row: self._apply_instance_row(row, now_ms)
        )
        self.instances.remove_held()
        self._share_limits()

    def _apply_instance_row(self, row: ReplicaRow, now_ms: int) -> None:
        if row.value is None:
            self.instances.remove(row.key)
            return
        entry = _decode_instance_row(row)
        if entry is not None:
            self.instances.put(entry, now_ms)

    def _share_limits(self) -> None:
        """Divide the limits that apply to all instances among those that may send."""
        instances = self.instances
        live = len(instances.live_ids())
        sharing = instances.budget_instance_ids()
        self.balancer.set_instances(len(instances.sender_ids()), sharing)
        self.balancer.set_capacity_by_region(instances.capacity_by_region())
        if (live, len(sharing)) != self._shared_among:
            self._shared_among = (live, len(sharing))
            log_event(
                _log,
                logging.INFO,
                "limits_shared",
                "the number of instances that share the limits has changed",
                live=live,
                sharing=len(sharing),
            )

    def _log_backend(
        self, event: str, row: ReplicaRow, state: str, **fields: object
    ) -> None:
        log_event(
            _log,
            logging.INFO,
            event,
            "the registry changed the state of a backend server",
            backend_id=row.key,
            state=state,
            row_version=row.version.number,
            era=row.version.era,
            **fields,
        )


def _decode_instance_row(row: ReplicaRow) -> InstanceEntry | None:
    """Return the entry in a row; log a row that cannot be decoded and return None."""
    assert row.value is not None
    try:
        return decode_instance(row.key, row.value)
    except RowDecodingError as exc:
        _log_unreadable_row("entry instance", row, exc)
        return None


def _log_unreadable_row(row_kind: str, row: ReplicaRow, exc: Exception) -> None:
    log_event(
        _log,
        logging.WARNING,
        "row_unreadable",
        f"cannot decode a row of the store as {row_kind}",
        key=row.key,
        row_version=row.version.number,
        era=row.version.era,
        error=str(exc),
    )
