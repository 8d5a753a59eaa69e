"""Specification of capacity grants: two borrowers, two incarnations of a grantor.

Messages are never removed from the network, so each may arrive late, twice, out of
order or not at all. A paused process takes no step while the clock ticks. The
first incarnation holds the slot until LEASE_END_TICK, then the second may claim it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

REGION_CAP = 2
GRANT_TICKS = 2
MARGIN_TICKS = 1
LEASE_END_TICK = 2
LAST_TICK = 7
MAX_ASKS = 2
MAX_FORWARDED = 1
BORROWERS = (0, 1)


class Rules(NamedTuple):
    """Select the protocol as designed or a deliberately wrong variant.

    Each borrower sends at most max_asks Ask messages and max_forwarded requests.
    """

    clock_starts_at_receipt: bool = False
    claimer_waits: bool = True
    renewal_keeps_reservation: bool = True
    rereads_clock: bool = True
    max_asks: int = MAX_ASKS
    max_forwarded: int = MAX_FORWARDED


DESIGNED = Rules()


class Reservation(NamedTuple):
    """Hold the slots that a grantor reserves for one Ask until the end tick."""

    ask: int
    amount: int
    end: int


class BorrowerAccount(NamedTuple):
    """Hold what one grantor incarnation reserves and runs for one borrower."""

    last_ask: int = 0
    reservations: tuple[Reservation, ...] = ()
    running: int = 0


class HeldGrant(NamedTuple):
    """Hold a grant as its borrower sees it, usable until the end tick."""

    incarnation: int
    ask: int
    amount: int
    end: int


class BorrowerState(NamedTuple):
    """Hold a borrower's state; sent lists the ticks at which it sent Ask messages.

    answered is the number of the newest Ask whose reply has arrived. checked is used
    only by the variant that checks its grant in one step and sends in a later one.
    """

    sent: tuple[int, ...] = ()
    answered: int = 0
    held: HeldGrant | None = None
    in_use: int = 0
    requests_sent: int = 0
    checked: bool = False


class Ask(NamedTuple):
    borrower: int
    number: int


class Reply(NamedTuple):
    borrower: int
    number: int
    incarnation: int
    amount: int


class ForwardedRequest(NamedTuple):
    borrower: int
    number: int
    incarnation: int
    ask: int
    sent: int


class State(NamedTuple):
    """Hold the clock, the accounts by incarnation and borrower, and the messages.

    claimed_at is the tick at which the second incarnation claims the slot.
    """

    now: int = 0
    claimed_at: int | None = None
    accounts: tuple[tuple[BorrowerAccount, ...], ...] = (
        (BorrowerAccount(), BorrowerAccount()),
        (BorrowerAccount(), BorrowerAccount()),
    )
    borrower_states: tuple[BorrowerState, ...] = (BorrowerState(), BorrowerState())
    net: frozenset[Ask | Reply] = frozenset()
    forwarded: frozenset[ForwardedRequest] = frozenset()
    timely_request_refused: bool = False


class Action(NamedTuple):
    """Label a transition; the refinement test performs it on the real classes."""

    kind: str
    borrower: int = 0
    message: Ask | Reply | ForwardedRequest | None = None
    incarnation: int = 0


def granted_slots(account: BorrowerAccount) -> int:
    return max((r.amount for r in account.reservations), default=0)


def reserved_slots(account: BorrowerAccount) -> int:
    return max(granted_slots(account), account.running)


def may_grant(state: State, incarnation: int, rules: Rules) -> bool:
    if incarnation == 0:
        return state.now < LEASE_END_TICK
    wait = GRANT_TICKS + MARGIN_TICKS if rules.claimer_waits else 0
    return state.claimed_at is not None and state.now >= state.claimed_at + wait


def usable_slots(state: State, borrower: int) -> int:
    held = state.borrower_states[borrower].held
    return held.amount if held is not None and state.now < held.end else 0


def violated_invariant(state: State) -> str | None:
    """Return the name of the violated invariant, or None if all invariants hold."""
    granted_on_link = sum(usable_slots(state, borrower) for borrower in BORROWERS)
    if granted_on_link > REGION_CAP:
        return "more granted on the link than its cap"
    running = sum(
        account.running for accounts in state.accounts for account in accounts
    )
    if running > REGION_CAP:
        return "more forwarded requests running than the region's cap"
    for incarnation, accounts in enumerate(state.accounts):
        if sum(map(reserved_slots, accounts)) > REGION_CAP:
            return "more reserved than the region's cap"
        for borrower, account in enumerate(accounts):
            held = state.borrower_states[borrower].held
            if held is None or held.incarnation != incarnation:
                continue
            if usable_slots(state, borrower) > reserved_slots(account):
                return "grantor reused what the borrower may still use"
    if state.timely_request_refused:
        return "request sent within its grant was refused though it arrived in time"
    return None


def transitions(
    state: State, rules: Rules = DESIGNED
) -> Iterator[tuple[Action, State]]:
    """Yield every enabled action with the state that it leads to."""
    yield from _clock_transitions(state)
    for borrower in BORROWERS:
        yield from _ask_transitions(state, borrower, rules)
        yield from _request_send_transitions(state, borrower, rules)
    for message in state.net:
        if isinstance(message, Ask):
            yield from _grant_transitions(state, message, rules)
        else:
            yield from _reply_transitions(state, message, rules)
    for request in state.forwarded:
        yield _request_arrival_transition(state, request)
    yield from _request_end_transitions(state)


def steps(state: State, rules: Rules = DESIGNED) -> Iterator[Step[State]]:
    """Yield labelled steps to canonical states for the explorer."""
    for action, successor in transitions(state, rules):
        label = f"t={state.now} {action.kind} {action.message or action.borrower}"
        yield Step(label, canonical_state(successor, rules))


def canonical_state(state: State, rules: Rules = DESIGNED) -> State:
    """Return the state without messages and times that no step can read again."""
    net = frozenset(msg for msg in state.net if _is_readable(state, msg, rules))
    borrower_states = tuple(
        _canonical_borrower_state(state, borrower, rules) for borrower in BORROWERS
    )
    return state._replace(net=net, borrower_states=borrower_states)


def _is_readable(state: State, message: Ask | Reply, rules: Rules) -> bool:
    if isinstance(message, Ask):
        first, second = (accounts[message.borrower] for accounts in state.accounts)
        for_first = state.now < LEASE_END_TICK and message.number > first.last_ask
        return for_first or message.number > second.last_ask
    borrower_state = state.borrower_states[message.borrower]
    end = borrower_state.sent[message.number - 1] + GRANT_TICKS
    in_time = rules.clock_starts_at_receipt or state.now < end
    return in_time and message.number > borrower_state.answered


def _canonical_borrower_state(
    state: State, borrower: int, rules: Rules
) -> BorrowerState:
    borrower_state = state.borrower_states[borrower]
    sent = tuple(
        0 if number <= borrower_state.answered else max(at, state.now - GRANT_TICKS)
        for number, at in enumerate(borrower_state.sent, 1)
    )
    expired = rules.rereads_clock and usable_slots(state, borrower) == 0
    return borrower_state._replace(
        sent=sent, held=None if expired else borrower_state.held
    )


def _clock_transitions(state: State) -> Iterator[tuple[Action, State]]:
    if state.claimed_at is None and state.now >= LEASE_END_TICK:
        yield Action("claim"), state._replace(claimed_at=state.now)
    if state.now == LAST_TICK:
        return
    now = state.now + 1
    accounts = tuple(
        tuple(
            account._replace(
                reservations=tuple(r for r in account.reservations if now < r.end)
            )
            for account in row
        )
        for row in state.accounts
    )
    yield Action("tick"), state._replace(now=now, accounts=accounts)


def _ask_transitions(
    state: State, borrower: int, rules: Rules
) -> Iterator[tuple[Action, State]]:
    borrower_state = state.borrower_states[borrower]
    if len(borrower_state.sent) == rules.max_asks:
        return
    ask = Ask(borrower, len(borrower_state.sent) + 1)
    borrower_state = borrower_state._replace(sent=(*borrower_state.sent, state.now))
    yield (
        Action("ask", borrower, ask),
        _with_borrower_state(state, borrower, borrower_state)._replace(
            net=state.net | {ask}
        ),
    )


def _grant_transitions(
    state: State, ask: Ask, rules: Rules
) -> Iterator[tuple[Action, State]]:
    for incarnation, accounts in enumerate(state.accounts):
        account = accounts[ask.borrower]
        if not may_grant(state, incarnation, rules) or ask.number <= account.last_ask:
            continue
        account = account._replace(last_ask=ask.number)
        action = Action("grant", ask.borrower, ask, incarnation)
        yield action, _with_account(state, incarnation, ask.borrower, account)
        reserved_by_others = sum(
            reserved_slots(accounts[b]) for b in BORROWERS if b != ask.borrower
        )
        running_elsewhere = sum(
            account.running for account in state.accounts[1 - incarnation]
        )
        for amount in range(1, REGION_CAP - reserved_by_others - running_elsewhere + 1):
            reservation = Reservation(
                ask.number, amount, state.now + GRANT_TICKS + MARGIN_TICKS
            )
            kept = account.reservations if rules.renewal_keeps_reservation else ()
            reserving = account._replace(reservations=(*kept, reservation))
            reply = Reply(ask.borrower, ask.number, incarnation, amount)
            successor = _with_account(state, incarnation, ask.borrower, reserving)
            yield action, successor._replace(net=state.net | {reply})


def _reply_transitions(
    state: State, reply: Reply, rules: Rules
) -> Iterator[tuple[Action, State]]:
    borrower_state = state.borrower_states[reply.borrower]
    if reply.number <= borrower_state.answered:
        return
    start = (
        state.now
        if rules.clock_starts_at_receipt
        else borrower_state.sent[reply.number - 1]
    )
    held = HeldGrant(reply.incarnation, reply.number, reply.amount, start + GRANT_TICKS)
    borrower_state = borrower_state._replace(answered=reply.number, held=held)
    yield (
        Action("reply", reply.borrower, reply),
        _with_borrower_state(state, reply.borrower, borrower_state),
    )


def _request_send_transitions(
    state: State, borrower: int, rules: Rules
) -> Iterator[tuple[Action, State]]:
    borrower_state = state.borrower_states[borrower]
    held = borrower_state.held
    if held is None or borrower_state.requests_sent == rules.max_forwarded:
        return
    if not rules.rereads_clock and not borrower_state.checked:
        if borrower_state.in_use < usable_slots(state, borrower):
            yield (
                Action("check", borrower),
                _with_borrower_state(
                    state, borrower, borrower_state._replace(checked=True)
                ),
            )
        return
    if rules.rereads_clock and borrower_state.in_use >= usable_slots(state, borrower):
        return
    request = ForwardedRequest(
        borrower, borrower_state.requests_sent, held.incarnation, held.ask, state.now
    )
    borrower_state = borrower_state._replace(
        in_use=borrower_state.in_use + 1,
        requests_sent=borrower_state.requests_sent + 1,
        checked=False,
    )
    yield (
        Action("send", borrower, request),
        _with_borrower_state(state, borrower, borrower_state)._replace(
            forwarded=state.forwarded | {request}
        ),
    )


def _request_arrival_transition(
    state: State, request: ForwardedRequest
) -> tuple[Action, State]:
    account = state.accounts[request.incarnation][request.borrower]
    without = state._replace(forwarded=state.forwarded - {request})
    action = Action("arrive", request.borrower, request, request.incarnation)
    is_live = any(r.ask == request.ask for r in account.reservations)
    if is_live and account.running < granted_slots(account):
        counted = account._replace(running=account.running + 1)
        return action, _with_account(
            without, request.incarnation, request.borrower, counted
        )
    borrower_state = state.borrower_states[request.borrower]
    refused = _with_borrower_state(
        without,
        request.borrower,
        borrower_state._replace(in_use=borrower_state.in_use - 1),
    )
    in_time = state.now < request.sent + MARGIN_TICKS
    return action, refused._replace(
        timely_request_refused=state.timely_request_refused or in_time
    )


def _request_end_transitions(state: State) -> Iterator[tuple[Action, State]]:
    for incarnation, accounts in enumerate(state.accounts):
        for borrower, account in enumerate(accounts):
            if account.running == 0:
                continue
            borrower_state = state.borrower_states[borrower]
            ended = _with_borrower_state(
                state,
                borrower,
                borrower_state._replace(in_use=borrower_state.in_use - 1),
            )
            account = account._replace(running=account.running - 1)
            yield (
                Action("end", borrower, None, incarnation),
                _with_account(ended, incarnation, borrower, account),
            )


def _with_borrower_state(
    state: State, borrower: int, borrower_state: BorrowerState
) -> State:
    borrower_states = tuple(
        borrower_state if b == borrower else state.borrower_states[b] for b in BORROWERS
    )
    return state._replace(borrower_states=borrower_states)


def _with_account(
    state: State, incarnation: int, borrower: int, account: BorrowerAccount
) -> State:
    accounts = [list(row) for row in state.accounts]
    accounts[incarnation][borrower] = account
    return state._replace(accounts=tuple(tuple(row) for row in accounts))
