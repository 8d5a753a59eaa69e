"""Slot leases of a zone's instances when the table service or relays may fail."""

from random import Random

from rhubarbwell_core.grants import GRANT_DURATION_MS, GRANT_MARGIN_MS
from rhubarbwell_core.messages import (
    AnswerRelay,
    ClaimSlot,
    PeerRecord,
    PeerState,
    ReadSlots,
    RelayAnswered,
    RelayAsked,
    RelayRenewal,
    RenewalResult,
    RenewSlots,
    SlotClaimAnswered,
    SlotsAnswered,
    SlotsRenewed,
    StoreResult,
)
from rhubarbwell_core.model import (
    Address,
    Configuration,
    DeploymentSpec,
    Identity,
    RegionSpec,
    ZoneSpec,
)
from rhubarbwell_core.slots import (
    CLAIM_WAIT_MS,
    LEASE_MS,
    OUTAGE_EXTENSION_MS,
    SlotPart,
)

HERE = Address("127.0.0.1", 1)
REGIONS = (RegionSpec("r"), RegionSpec("s"))


def configuration(slots):
    zones = (ZoneSpec("r-a", "r", slots), ZoneSpec("s-a", "s", slots))
    return Configuration(1, "x", DeploymentSpec("d", REGIONS, zones), {})


class Zone:
    """Run the slot parts of a zone against a simulated table of slots."""

    def __init__(self, names, slots=2):
        self.now_ms = 0
        self.rows = {}
        self.store_up = True
        self.lose_claim_answers = False
        self.slots = slots
        self.parts = {}
        self.unreachable = set()
        self.unlisted = set()
        self.writes = 0
        for name in names:
            self.start(name)

    def start(self, name, incarnation=None):
        incarnation = incarnation or f"{name}-1"
        identity = Identity(name, incarnation, "r-a", "r", HERE, HERE)
        zone_peers = lambda: [
            PeerRecord(n, p.incarnation, "r-a", "r", HERE, HERE, PeerState.READY, 1, 1)
            for n, p in self.parts.items()
            if n != name and n not in self.unlisted
        ]
        part = SlotPart(identity, Random(name), zone_peers=zone_peers)
        part.incarnation = incarnation
        part.configure(configuration(self.slots), 0)
        self.parts[name] = part

    def run(self, until_ms, paused=()):
        while self.now_ms < until_ms:
            self.now_ms += 500
            for name in [name for name in self.parts if name not in paused]:
                self.execute(name, self.parts[name].update_lease(self.now_ms))

    def execute(self, name, actions):
        for action in actions:
            event, target = self.answer_action(name, action)
            if event is not None and target in self.parts:
                part = self.parts[target]
                handler = part.handlers()[type(event)]
                self.execute(target, handler(event, self.now_ms))

    def answer_action(self, name, action):
        if isinstance(action, ReadSlots):
            rows = tuple(self.rows.values()) if self.store_up else None
            return SlotsAnswered(action.call_id, rows), name
        if isinstance(action, ClaimSlot):
            return SlotClaimAnswered(action.call_id, self.claim(action)), name
        if isinstance(action, RenewSlots):
            self.writes += 1
            results = tuple(self.renew(renewal) for renewal in action.renewals)
            return SlotsRenewed(action.call_id, results), name
        if isinstance(action, RelayRenewal):
            if action.peer_id in self.unreachable:
                return None, name
            relay_id, renewal = action.relay_id, action.renewal
            return RelayAsked(name, HERE, relay_id, renewal), action.peer_id
        if isinstance(action, AnswerRelay):
            answer = RelayAnswered(
                name, action.relay_id, action.result, action.store_silent_ms
            )
            return answer, action.peer_id
        raise AssertionError(action)

    def claim(self, action):
        if not self.store_up:
            return StoreResult.UNAVAILABLE
        if self.rows.get(action.row.slot) != action.expected:
            return StoreResult.CONFLICT
        self.rows[action.row.slot] = action.row
        lost = self.lose_claim_answers
        return StoreResult.UNAVAILABLE if lost else StoreResult.DONE

    def renew(self, renewal):
        if not self.store_up:
            return RenewalResult.UNAVAILABLE
        row = self.rows.get(renewal.slot)
        if row is None or row.incarnation != renewal.incarnation:
            return RenewalResult.LOST
        self.rows[renewal.slot] = row._replace(renewals=row.renewals + 1)
        return RenewalResult.RENEWED

    def granting(self):
        return {n for n, p in self.parts.items() if p.may_grant(self.now_ms)}


def test_new_holder_waits_for_the_former_holders_grants():
    assert CLAIM_WAIT_MS >= OUTAGE_EXTENSION_MS + GRANT_DURATION_MS + GRANT_MARGIN_MS
    zone = Zone("ab")
    zone.run(CLAIM_WAIT_MS)
    assert zone.granting() == set()
    zone.run(CLAIM_WAIT_MS + 3_000)
    assert zone.granting() == {"a", "b"}


def test_slots_bound_the_number_of_grantors_and_one_peer_renews():
    zone = Zone("abc")
    zone.run(60_000)
    assert len(zone.granting()) == 2 and len(zone.rows) == 2
    assert zone.writes <= 60_000 / 1_000


def test_lost_claim_answer_is_settled_by_reading():
    zone = Zone("a")
    zone.lose_claim_answers = True
    zone.run(15_000)
    assert len(zone.rows) == 1 and zone.granting() == {"a"}


def test_expired_lease_is_extended_only_while_peers_answer():
    zone = Zone("ab")
    zone.run(12_000)
    zone.store_up = False
    zone.run(12_000 + LEASE_MS + 20_000)
    assert zone.granting() == {"a", "b"}
    zone.unreachable.add("b")
    zone.run(zone.now_ms + OUTAGE_EXTENSION_MS + 1_000)
    assert zone.granting() == {"b"}


def test_lone_instance_grants_nothing_after_its_lease_expires():
    zone = Zone("a")
    zone.run(12_000)
    zone.store_up = False
    zone.run(12_000 + LEASE_MS)
    assert zone.granting() == set()


def test_paused_holder_grants_nothing_when_it_wakes_up():
    zone = Zone("ab", slots=1)
    zone.run(12_000)
    (holder,) = zone.granting()
    zone.unlisted.add(holder)
    zone.run(40_000, paused={holder})
    assert zone.granting() == {"a", "b"} - {holder}
    zone.unlisted.clear()
    zone.run(45_000)
    assert zone.granting() == {"a", "b"} - {holder}


def test_replacement_takes_over_a_dead_holders_slot_after_a_lease():
    zone = Zone("a", slots=1)
    zone.run(12_000)
    del zone.parts["a"]
    zone.start("a", "a-2")
    zone.run(12_000 + LEASE_MS - 3_000)
    assert zone.rows[0].incarnation == "a-1"
    zone.run(12_000 + LEASE_MS + CLAIM_WAIT_MS + 5_000)
    assert zone.granting() == {"a"} and zone.rows[0].incarnation == "a-2"
