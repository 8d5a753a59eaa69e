"""Specification of slot leases: a holder, a zone peer and a claimer of its slot.

The store answers at once or, while it is down, not at all. Relays and their
answers may arrive late or never. A paused instance takes no step while the clock
ticks.

During a hold-over the holder may grant after the end of its lease. A hold-over lasts
until HOLD_OVER_TICKS after the start of a renewal round that failed on every path.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

LEASE_TICKS = 2
HOLD_OVER_TICKS = 1
GRANT_TICKS = 2
LAST_TICK = 7
MAX_ROUNDS = 2
MAX_STORE_TOGGLES = 2
PEERS = ("peer", "claimer")


class Rules(NamedTuple):
    """Select the protocol as designed or a deliberately wrong variant."""

    asks_peers: bool = True
    claimer_waits: bool = True
    watches_lease: bool = True
    lease_starts_at_sending: bool = True
    claimer_is_reachable: bool = True


DESIGNED = Rules()


class Relay(NamedTuple):
    """Represent a renewal that the holder asks a peer to relay.

    sent is the tick of the renewal round.
    """

    sent: int
    peer: str


class Answer(NamedTuple):
    """Represent the answer to a relayed renewal.

    store_answered_at is the tick at which the store last answered the peer. A tick
    at or after the end of the lease rules out a hold-over.
    """

    sent: int
    peer: str
    result: str
    store_answered_at: int


class State(NamedTuple):
    """Hold the store, the holder, its peers and the messages between them.

    failed_paths holds the tick of a renewal round and the path on which it failed,
    observed the row version that the claimer read and the tick of its first read.
    peer_answered_at and claimer_answered_at are the ticks at which the store last
    answered them.
    """

    now: int = 0
    store_is_down: bool = False
    store_toggles: int = 0
    owner: str = "holder"
    version: int = 0
    lease_end: int = LEASE_TICKS
    hold_over_end: int = 0
    holds_slot: bool = True
    rounds: tuple[int, ...] = ()
    failed_paths: frozenset[tuple[int, str]] = frozenset()
    granted_until: int = 0
    peer_answered_at: int = -1
    claimer_answered_at: int = -1
    observed: tuple[int, int] | None = None
    claim_pending: bool = False
    claimed_at: int | None = None
    net: frozenset[Relay | Answer] = frozenset()


def holder_may_grant(state: State) -> bool:
    return state.holds_slot and state.now < max(state.lease_end, state.hold_over_end)


def claimer_may_grant(state: State, rules: Rules = DESIGNED) -> bool:
    wait = HOLD_OVER_TICKS + GRANT_TICKS if rules.claimer_waits else 0
    return state.claimed_at is not None and state.now >= state.claimed_at + wait


def violated_invariant(state: State, rules: Rules = DESIGNED) -> str | None:
    """Return the name of the violated invariant, or None if all invariants hold."""
    holder_share_in_use = state.now < state.granted_until or holder_may_grant(state)
    if holder_share_in_use and claimer_may_grant(state, rules):
        return "two instances grant the share of one slot"
    return None


def steps(state: State, rules: Rules = DESIGNED) -> Iterator[Step[State]]:
    """Yield labelled steps for the explorer."""
    for label, successor in _transitions(state, rules):
        yield Step(f"t={state.now} {label}", _canonical_state(successor))


def _transitions(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.now < LAST_TICK:
        yield "tick", state._replace(now=state.now + 1)
    if state.store_toggles < MAX_STORE_TOGGLES:
        toggled = state._replace(
            store_is_down=not state.store_is_down, store_toggles=state.store_toggles + 1
        )
        yield ("store cut" if toggled.store_is_down else "store back"), toggled
    yield from _holder_transitions(state, rules)
    yield from _claimer_transitions(state, rules)
    for message in state.net:
        if isinstance(message, Relay):
            yield f"relayed {message}", _after_relay(state, message)
        else:
            yield f"answer {message}", _after_answer(state, message, rules)


def _holder_transitions(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if not state.holds_slot:
        return
    if holder_may_grant(state) and state.granted_until < state.now + GRANT_TICKS:
        yield "holder grants", state._replace(granted_until=state.now + GRANT_TICKS)
    if len(state.rounds) < MAX_ROUNDS and state.now not in state.rounds:
        yield "holder renews", _after_round_start(state, rules)


def _after_round_start(state: State, rules: Rules) -> State:
    asked = [peer for peer in PEERS if rules.claimer_is_reachable or peer == "peer"]
    relays = frozenset(Relay(state.now, peer) for peer in asked)
    state = state._replace(rounds=(*state.rounds, state.now), net=state.net | relays)
    if not state.store_is_down:
        return _after_renewal(state, state.now, _renewal_result(state), rules)
    failed_paths = state.failed_paths | {(state.now, "direct")}
    state = state._replace(failed_paths=failed_paths)
    return state if rules.asks_peers else _with_hold_over(state, state.now, rules)


def _renewal_result(state: State) -> str:
    return "renewed" if state.owner == "holder" else "lost"


def _after_relay(state: State, relay: Relay) -> State:
    answered_at = (
        state.peer_answered_at if relay.peer == "peer" else state.claimer_answered_at
    )
    result = "unavailable"
    net = state.net - {relay}
    if not state.store_is_down:
        result = _renewal_result(state)
        answered_at = state.now
        state = _with_store_answer(state, relay.peer)
        if result == "renewed":
            state = state._replace(version=state.version + 1)
    answer = Answer(relay.sent, relay.peer, result, answered_at)
    return state._replace(net=net | {answer})


def _after_answer(state: State, answer: Answer, rules: Rules) -> State:
    state = state._replace(net=state.net - {answer})
    if not state.holds_slot:
        return state
    if answer.result != "unavailable":
        return _after_renewal(state, answer.sent, answer.result, rules)
    if answer.store_answered_at >= state.lease_end:
        return state
    failed_paths = state.failed_paths | {(answer.sent, answer.peer)}
    return _with_hold_over(
        state._replace(failed_paths=failed_paths), answer.sent, rules
    )


def _after_renewal(state: State, sent: int, result: str, rules: Rules) -> State:
    if result == "lost":
        return state._replace(holds_slot=False)
    start = sent if rules.lease_starts_at_sending else state.now
    end = max(state.lease_end, start + LEASE_TICKS)
    version = state.version + (sent == state.now)
    return state._replace(lease_end=end, hold_over_end=0, version=version)


def _with_hold_over(state: State, sent: int, rules: Rules) -> State:
    """Return the state, its hold-over extended if the renewals of a round all failed.

    These are the renewals sent at tick `sent`: the direct one and those through every
    reachable peer that is asked.
    """
    paths = {"direct", *PEERS} if rules.asks_peers else {"direct"}
    if not rules.claimer_is_reachable:
        paths -= {"claimer"}
    if not paths <= {path for at, path in state.failed_paths if at == sent}:
        return state
    return state._replace(
        hold_over_end=max(state.hold_over_end, sent + HOLD_OVER_TICKS)
    )


def _claimer_transitions(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.claimed_at is not None or state.store_is_down:
        return
    updated = _with_store_answer(state, "claimer")
    if state.claim_pending:
        yield "claimer finds its row", updated._replace(claimed_at=state.now)
        return
    if state.observed is None or state.observed[0] != state.version:
        yield "claimer reads", updated._replace(observed=(state.version, state.now))
    elif not rules.watches_lease or state.now >= state.observed[1] + LEASE_TICKS:
        claimed = state._replace(owner="claimer", version=state.version + 1)
        yield (
            "claim answered",
            _with_store_answer(claimed, "claimer")._replace(claimed_at=state.now),
        )
        yield "claim's answer lost", claimed._replace(claim_pending=True)


def _with_store_answer(state: State, peer: str) -> State:
    if peer == "peer":
        return state._replace(peer_answered_at=state.now)
    return state._replace(claimer_answered_at=state.now)


def _canonical_state(state: State) -> State:
    """Return the state without values that no later step can tell apart."""
    now = state.now
    observed = state.observed
    if observed is not None:
        is_same = observed[0] == state.version
        observed = (0, max(observed[1], now - LEASE_TICKS)) if is_same else None
    state = state._replace(
        version=0,
        observed=observed,
        rounds=tuple(at if at == now else -1 for at in state.rounds),
        granted_until=state.granted_until if state.granted_until > now else 0,
        hold_over_end=state.hold_over_end if state.hold_over_end > now else 0,
    )
    if not state.holds_slot:
        return state._replace(
            net=frozenset(),
            failed_paths=frozenset(),
            rounds=(),
            lease_end=0,
            peer_answered_at=-1,
            claimer_answered_at=-1,
        )
    oldest = now - max(LEASE_TICKS, HOLD_OVER_TICKS)
    end = state.lease_end
    return state._replace(
        net=frozenset(_canonical_message(m, end) for m in state.net if m.sent > oldest),
        failed_paths=frozenset(item for item in state.failed_paths if item[0] > oldest),
        peer_answered_at=state.peer_answered_at
        if state.peer_answered_at >= end
        else -1,
        claimer_answered_at=state.claimer_answered_at
        if state.claimer_answered_at >= end
        else -1,
    )


def _canonical_message(message: Relay | Answer, lease_end: int) -> Relay | Answer:
    if isinstance(message, Relay) or message.store_answered_at >= lease_end:
        return message
    return message._replace(store_answered_at=-1)
