"""Specification of slot leases: a holder, a zone peer and a claimer of its slot.

The store answers at once or, cut off, not at all; relays and their answers may
come late or never; a paused instance takes no step while the clock ticks.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

LEASE = 2
HOLD_OVER = 1
GRANT_LIFE = 2
LAST_TICK = 7
MAX_ROUNDS = 2
MAX_CUTS = 2
PEERS = ("peer", "claimer")


class Rules(NamedTuple):
    """Choose the protocol as designed or a deliberately wrong variant."""

    asks_peers: bool = True
    claimer_waits: bool = True
    watches_lease: bool = True
    counts_from_sending: bool = True
    claimer_is_reachable: bool = True


DESIGNED = Rules()


class Relay(NamedTuple):
    """Carry a renewal of the round sent at a tick to a peer."""

    sent: int
    peer: str


class Answer(NamedTuple):
    """Answer a relay: the result, and whether the store answered after the lapse."""

    sent: int
    peer: str
    result: str
    heard: int


class State(NamedTuple):
    now: int = 0
    cut: bool = False
    cuts: int = 0
    owner: str = "holder"
    version: int = 0
    lease_end: int = LEASE
    hold_until: int = 0
    holds: bool = True
    rounds: tuple[int, ...] = ()
    refused: frozenset[tuple[int, str]] = frozenset()
    granted_until: int = 0
    peer_heard: int = -1
    claimer_heard: int = -1
    seen: tuple[int, int] | None = None
    claim_pending: bool = False
    claimed_at: int | None = None
    net: frozenset[Relay | Answer] = frozenset()


def holder_may_grant(state: State) -> bool:
    return state.holds and state.now < max(state.lease_end, state.hold_until)


def claimer_may_grant(state: State, rules: Rules = DESIGNED) -> bool:
    wait = HOLD_OVER + GRANT_LIFE if rules.claimer_waits else 0
    return state.claimed_at is not None and state.now >= state.claimed_at + wait


def check(state: State, rules: Rules = DESIGNED) -> str | None:
    """Name the violated invariant, None if all hold."""
    live = state.now < state.granted_until or holder_may_grant(state)
    if live and claimer_may_grant(state, rules):
        return "two instances grant the share of one slot"
    return None


def steps(state: State, rules: Rules = DESIGNED) -> Iterator[Step[State]]:
    """Yield labelled steps for the explorer."""
    for label, successor in _moves(state, rules):
        yield Step(f"t={state.now} {label}", _reduce(successor))


def _moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.now < LAST_TICK:
        yield "tick", state._replace(now=state.now + 1)
    if state.cuts < MAX_CUTS:
        cut = state._replace(cut=not state.cut, cuts=state.cuts + 1)
        yield ("store cut" if cut.cut else "store back"), cut
    yield from _holder(state, rules)
    yield from _claimer(state, rules)
    for message in state.net:
        if isinstance(message, Relay):
            yield f"relayed {message}", _relay(state, message)
        else:
            yield f"answer {message}", _take_answer(state, message, rules)


def _holder(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if not state.holds:
        return
    if holder_may_grant(state) and state.granted_until < state.now + GRANT_LIFE:
        yield "holder grants", state._replace(granted_until=state.now + GRANT_LIFE)
    if len(state.rounds) < MAX_ROUNDS and state.now not in state.rounds:
        yield "holder renews", _start_round(state, rules)


def _start_round(state: State, rules: Rules) -> State:
    asked = [peer for peer in PEERS if rules.claimer_is_reachable or peer == "peer"]
    relays = frozenset(Relay(state.now, peer) for peer in asked)
    state = state._replace(rounds=(*state.rounds, state.now), net=state.net | relays)
    if not state.cut:
        return _apply(state, state.now, _renew(state), rules)
    refused = state.refused | {(state.now, "direct")}
    state = state._replace(refused=refused)
    return state if rules.asks_peers else _judge_outage(state, state.now, rules)


def _renew(state: State) -> str:
    return "renewed" if state.owner == "holder" else "lost"


def _relay(state: State, relay: Relay) -> State:
    heard = state.peer_heard if relay.peer == "peer" else state.claimer_heard
    result = "unavailable"
    net = state.net - {relay}
    if not state.cut:
        result = _renew(state)
        heard = state.now
        state = _note_heard(state, relay.peer)
        if result == "renewed":
            state = state._replace(version=state.version + 1)
    answer = Answer(relay.sent, relay.peer, result, heard)
    return state._replace(net=net | {answer})


def _take_answer(state: State, answer: Answer, rules: Rules) -> State:
    state = state._replace(net=state.net - {answer})
    if not state.holds:
        return state
    if answer.result != "unavailable":
        return _apply(state, answer.sent, answer.result, rules)
    if answer.heard >= state.lease_end:
        return state
    refused = state.refused | {(answer.sent, answer.peer)}
    return _judge_outage(state._replace(refused=refused), answer.sent, rules)


def _apply(state: State, sent: int, result: str, rules: Rules) -> State:
    if result == "lost":
        return state._replace(holds=False)
    start = sent if rules.counts_from_sending else state.now
    end = max(state.lease_end, start + LEASE)
    bump = state.version + (sent == state.now)
    return state._replace(lease_end=end, hold_until=0, version=bump)


def _judge_outage(state: State, sent: int, rules: Rules) -> State:
    ways = {"direct", *PEERS} if rules.asks_peers else {"direct"}
    if not rules.claimer_is_reachable:
        ways -= {"claimer"}
    if not ways <= {way for at, way in state.refused if at == sent}:
        return state
    return state._replace(hold_until=max(state.hold_until, sent + HOLD_OVER))


def _claimer(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.claimed_at is not None or state.cut:
        return
    heard = _note_heard(state, "claimer")
    if state.claim_pending:
        yield "claimer finds its row", heard._replace(claimed_at=state.now)
        return
    if state.seen is None or state.seen[0] != state.version:
        yield "claimer reads", heard._replace(seen=(state.version, state.now))
    elif not rules.watches_lease or state.now >= state.seen[1] + LEASE:
        taken = state._replace(owner="claimer", version=state.version + 1)
        yield (
            "claim answered",
            _note_heard(taken, "claimer")._replace(claimed_at=state.now),
        )
        yield "claim's answer lost", taken._replace(claim_pending=True)


def _note_heard(state: State, peer: str) -> State:
    if peer == "peer":
        return state._replace(peer_heard=state.now)
    return state._replace(claimer_heard=state.now)


def _reduce(state: State) -> State:
    """Forget what no step can tell apart any more."""
    now = state.now
    seen = state.seen
    if seen is not None:
        is_same = seen[0] == state.version
        seen = (0, max(seen[1], now - LEASE)) if is_same else None
    state = state._replace(
        version=0,
        seen=seen,
        rounds=tuple(at if at == now else -1 for at in state.rounds),
        granted_until=state.granted_until if state.granted_until > now else 0,
        hold_until=state.hold_until if state.hold_until > now else 0,
    )
    if not state.holds:
        return state._replace(
            net=frozenset(),
            refused=frozenset(),
            rounds=(),
            lease_end=0,
            peer_heard=-1,
            claimer_heard=-1,
        )
    oldest = now - max(LEASE, HOLD_OVER)
    end = state.lease_end
    return state._replace(
        net=frozenset(_reduce_answer(m, end) for m in state.net if m.sent > oldest),
        refused=frozenset(item for item in state.refused if item[0] > oldest),
        peer_heard=state.peer_heard if state.peer_heard >= end else -1,
        claimer_heard=state.claimer_heard if state.claimer_heard >= end else -1,
    )


def _reduce_answer(message: Relay | Answer, lease_end: int) -> Relay | Answer:
    if isinstance(message, Relay) or message.heard >= lease_end:
        return message
    return message._replace(heard=-1)
