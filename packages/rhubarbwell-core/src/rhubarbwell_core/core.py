"""The decision core of one entry instance."""

from collections.abc import Callable, Sequence
from random import Random

from rhubarbwell_core.admission import (
    AdjustLimits,
    Admission,
    AnnounceLoad,
    RankAdmission,
)
from rhubarbwell_core.adoption import POLLERS_PER_ZONE, AdoptionPart
from rhubarbwell_core.burn import BurnObserver, EndedRequest
from rhubarbwell_core.engine import Action, Event, EventHandler, Table, TimerService
from rhubarbwell_core.engine.systems import Part, System
from rhubarbwell_core.grants import GrantPart
from rhubarbwell_core.keys import KeyedRequests, new_ticket
from rhubarbwell_core.lookups import LookUpAnswer, LookUpPart, LookUpQuery
from rhubarbwell_core.membership import MembershipPart, zone_headroom
from rhubarbwell_core.messages import (
    AttemptEnded,
    BackendLeaving,
    BackendReturned,
    ConfigReceived,
    ConnectionSilent,
    EndRequest,
    LoadReported,
    PeerRecord,
    PeerState,
    RequestArrived,
    ServiceHeadroom,
    ZoneHeadroomReceived,
    ZoneSummary,
)
from rhubarbwell_core.model import Address, Configuration, Identity, Reason
from rhubarbwell_core.requests import RequestLifecycle
from rhubarbwell_core.routing import (
    BackendTable,
    RetryBudget,
    RouteChooser,
    UpdateMemberPosition,
)
from rhubarbwell_core.shifts import OwnZoneMeasurement, ZoneShares
from rhubarbwell_core.slots import SlotPart

__all__ = ["Core"]


class Core:
    """Make the decisions of one entry instance from events and the time in ms.

    >>> from rhubarbwell_core.model import Address
    >>> here = Address("127.0.0.1", 1)
    >>> core = Core(Identity("i", "i-1", "r-a", "r", here, here), Random(1))
    >>> core.advance(1_000)
    []
    >>> core.configuration is None
    True
    """

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        *,
        now_ms: int = 0,
        on_request_ended: Callable[[EndedRequest], None] | None = None,
        ticket_rng: Random | None = None,
    ) -> None:
        self.identity = identity
        self.configuration: Configuration | None = None
        self.timers = TimerService(now_ms=now_ms)
        self.peers = Table[str, PeerRecord]("peers")
        self.backends = BackendTable(
            identity.region, rng, instance_id=identity.instance_id
        )
        admission = RankAdmission(self.backends, now_ms=now_ms)
        self.admission: Admission = admission
        self._member_position = UpdateMemberPosition(
            identity, self.peers, self.backends
        )
        self.slots = SlotPart(
            identity,
            rng,
            zone_peers=self._zone_peers,
            is_leaving=lambda: self.state is PeerState.LEAVING,
        )
        self.grants = GrantPart(
            identity,
            self.peers,
            self.backends,
            rng,
            may_grant=self.slots.may_grant,
        )
        self.routes: RouteChooser = self.grants.routes
        self.zone_shares = ZoneShares()
        self.keys = KeyedRequests(
            identity.incarnation, self._owner_address, self._owner_refusal
        )
        self.requests = RequestLifecycle(
            identity.incarnation,
            self.admission,
            self.routes,
            RetryBudget(),
            self.keys,
        )
        self.membership = MembershipPart(
            identity,
            self.peers,
            rng,
            now_ms=now_ms,
            on_version=self._on_peer_version,
            on_summary=self._on_zone_summary,
            read_headroom=self._headroom,
        )
        self.adoption = AdoptionPart(
            rng,
            is_poller=self._is_poller,
            on_configuration=self._on_config,
            on_advanced=self._on_log_advanced,
        )
        self.burn = BurnObserver()
        self._on_request_ended = on_request_ended
        self._ticket_rng = ticket_rng or rng
        self._look_ups = LookUpPart(identity, self.peers, rng)
        self._handlers: dict[type, EventHandler] = {
            ConfigReceived: self._on_config,
            LoadReported: self.backends.on_load_reported,
            BackendLeaving: self.backends.on_leaving,
            BackendReturned: self.backends.on_returned,
            ConnectionSilent: self.backends.on_connection_silent,
        }
        self._register_part(self.requests)
        self._register_part(self.membership)
        self._register_part(self.adoption)
        self._register_part(self.keys)
        self._register_part(self._look_ups)
        self._register_part(self.slots)
        self._register_part(self.grants)
        self._schedule_system(self._member_position)
        self._schedule_system(AdjustLimits(admission))
        announce = lambda load: self.membership.update_own_status(load=load)
        self._schedule_system(AnnounceLoad(admission, announce))
        self._schedule_system(
            OwnZoneMeasurement(identity, self.zone_shares, self._headroom)
        )

    @property
    def state(self) -> PeerState:
        """Return the state that this instance announces."""
        return self.membership.state

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Return the actions for an event; raise KeyError if no part handles it."""
        if isinstance(event, RequestArrived):
            self.burn.record_arrival(event, now_ms)
        actions = list(self._handlers[type(event)](event, now_ms))
        status = event.status if isinstance(event, AttemptEnded) else None
        self._record_ended_requests(actions, now_ms, status)
        return actions

    def advance(self, now_ms: int) -> list[Action]:
        """Run the systems that are due at now_ms and return their actions."""
        actions = self.timers.advance(now_ms)
        self._record_ended_requests(actions, now_ms, None)
        return actions

    def next_due_ms(self) -> int | None:
        """Return the time in ms at which a system is due next."""
        return self.timers.next_due_ms()

    def look_up(self, query: LookUpQuery, now_ms: int) -> LookUpAnswer:
        """Return the answer to a look-up; raise ValueError for a malformed address."""
        ticket = self._new_ticket_if_ready(now_ms) if query.wants_ticket else None
        zones = self._look_ups.zone_order(query)
        live = self._look_ups.live_zones(zones)
        shares = self.zone_shares.shares(query.service, zones, live, now_ms)
        return self._look_ups.look_up(live, shares=shares, ticket=ticket)

    def _zone_peers(self) -> list[PeerRecord]:
        return self.membership.zone_peers()

    def _new_ticket_if_ready(self, now_ms: int) -> str | None:
        if self.state is not PeerState.READY:
            return None
        return new_ticket(self.identity.incarnation, self._ticket_rng, now_ms)

    def _owner_address(self, incarnation: str) -> Address | None:
        owner = self._peer_of(incarnation)
        return None if owner is None else owner.callers

    def _owner_refusal(self, req: RequestArrived, incarnation: str) -> Reason | None:
        owner = self._peer_of(incarnation)
        if owner is None:
            return None
        return self.grants.borrowing.account_peers.refusal(req, owner)

    def _peer_of(self, incarnation: str) -> PeerRecord | None:
        for peer in self.peers.rows():
            if peer.incarnation == incarnation:
                return peer
        return None

    def _record_ended_requests(
        self, actions: Sequence[Action], now_ms: int, status: int | None
    ) -> None:
        for action in actions:
            if not isinstance(action, EndRequest):
                continue
            ended = self.burn.record_end(action, now_ms, status=status)
            if ended is not None and self._on_request_ended is not None:
                self._on_request_ended(ended)

    def _register_part(self, part: Part) -> None:
        self._handlers.update(part.handlers())
        for system in part.systems():
            self._schedule_system(system)

    def _schedule_system(self, system: System) -> None:
        self.timers.subscribe(system.period_ms, system.run)

    def _on_config(self, event: ConfigReceived, now_ms: int) -> list[Action]:
        cfg = event.configuration
        if self.configuration and cfg.version <= self.configuration.version:
            return []
        self.configuration = cfg
        self._look_ups.configure(cfg, now_ms)
        self.burn.configure(cfg)
        self.zone_shares.configure(cfg.deployment)
        self.slots.configure(cfg, now_ms)
        self.admission.configure(cfg, now_ms)
        self.routes.configure(cfg, now_ms)
        self._member_position.configure(cfg, now_ms)
        self.membership.update_own_status(config_version=cfg.version)
        self.membership.mark_configured(now_ms)
        return []

    def _is_poller(self) -> bool:
        return self.membership.is_assigned("poll", POLLERS_PER_ZONE)

    def _on_log_advanced(self, now_ms: int) -> list[Action]:
        self.membership.update_own_status(log_version=self.adoption.position.version)
        return self.membership.probe_random_peers(now_ms)

    def _on_peer_version(
        self, address: Address, version: int, now_ms: int
    ) -> list[Action]:
        return self.adoption.observe_peer_version(address, version, now_ms)

    def _on_zone_summary(self, summary: ZoneSummary, now_ms: int) -> list[Action]:
        members = self.membership.members.of_zone(summary.zone)
        if not members:
            return []
        region = members[0].heard.region
        event = ZoneHeadroomReceived(summary.zone, region, summary.services)
        self.zone_shares.update_headroom(event, now_ms)
        return list(self._handlers[ZoneHeadroomReceived](event, now_ms))

    def _headroom(self) -> tuple[ServiceHeadroom, ...]:
        return zone_headroom(self.backends.rows.rows(), self.identity.zone)
