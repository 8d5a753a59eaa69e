"""Specification of capacity grants: two borrowers, two incarnations of a grantor.

Messages are never taken off the network, so each may come late, twice, crossed or
not at all; a paused process is one that takes no step while the clock ticks.
Incarnation 1 holds the slot until LAPSE; incarnation 2 may claim it after that.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

CAP = 2
DURATION = 2
MARGIN = 1
LAPSE = 2
LAST_TICK = 7
MAX_ASKS = 2
MAX_WORK = 1
BORROWERS = (0, 1)


class Rules(NamedTuple):
    """Choose the protocol as designed or a deliberately wrong variant."""

    clock_starts_at_receipt: bool = False
    claimer_waits: bool = True
    renewal_keeps_reservation: bool = True
    rereads_clock: bool = True
    asks: int = MAX_ASKS
    work: int = MAX_WORK


DESIGNED = Rules()


class Layer(NamedTuple):
    ask: int
    amount: int
    end: int


class Line(NamedTuple):
    last_ask: int = 0
    layers: tuple[Layer, ...] = ()
    running: int = 0


class Held(NamedTuple):
    incarnation: int
    ask: int
    amount: int
    end: int


class Side(NamedTuple):
    """Hold a borrower: its asks' sending times, its grant and requests in use."""

    sent: tuple[int, ...] = ()
    answered: int = 0
    held: Held | None = None
    in_use: int = 0
    work_sent: int = 0
    checked: bool = False


class Ask(NamedTuple):
    borrower: int
    number: int


class Reply(NamedTuple):
    borrower: int
    number: int
    incarnation: int
    amount: int


class Work(NamedTuple):
    borrower: int
    number: int
    incarnation: int
    ask: int
    sent: int


class State(NamedTuple):
    now: int = 0
    claimed: int | None = None
    lines: tuple[tuple[Line, ...], ...] = ((Line(), Line()), (Line(), Line()))
    sides: tuple[Side, ...] = (Side(), Side())
    net: frozenset[Ask | Reply] = frozenset()
    work: frozenset[Work] = frozenset()
    late_refusal: bool = False


class Move(NamedTuple):
    """Label a transition so that the same move can be made on the real classes."""

    kind: str
    borrower: int = 0
    message: Ask | Reply | Work | None = None
    incarnation: int = 0


def granted(line: Line) -> int:
    return max((layer.amount for layer in line.layers), default=0)


def reserved(line: Line) -> int:
    return max(granted(line), line.running)


def may_grant(state: State, incarnation: int, rules: Rules) -> bool:
    if incarnation == 0:
        return state.now < LAPSE
    wait = DURATION + MARGIN if rules.claimer_waits else 0
    return state.claimed is not None and state.now >= state.claimed + wait


def usable(state: State, borrower: int) -> int:
    held = state.sides[borrower].held
    return held.amount if held is not None and state.now < held.end else 0


def check(state: State) -> str | None:
    """Name the violated invariant, None if all hold."""
    link = sum(usable(state, borrower) for borrower in BORROWERS)
    if link > CAP:
        return "more granted on the link than its cap"
    running = sum(line.running for lines in state.lines for line in lines)
    if running > CAP:
        return "more forwarded requests running than the region's cap"
    for incarnation, lines in enumerate(state.lines):
        if sum(map(reserved, lines)) > CAP:
            return "more reserved than the region's cap"
        for borrower, line in enumerate(lines):
            held = state.sides[borrower].held
            if held is None or held.incarnation != incarnation:
                continue
            if usable(state, borrower) > reserved(line):
                return "grantor reused what the borrower may still use"
    if state.late_refusal:
        return "request sent within its grant was refused in time"
    return None


def moves(state: State, rules: Rules = DESIGNED) -> Iterator[tuple[Move, State]]:
    """Yield every move that is possible with the state it leads to."""
    yield from _clock(state)
    for borrower in BORROWERS:
        yield from _send_ask(state, borrower, rules)
        yield from _send_work(state, borrower, rules)
    for message in state.net:
        if isinstance(message, Ask):
            yield from _take_ask(state, message, rules)
        else:
            yield from _take_reply(state, message, rules)
    for work in state.work:
        yield _take_work(state, work)
    yield from _end_work(state)


def steps(state: State, rules: Rules = DESIGNED) -> Iterator[Step[State]]:
    """Yield labelled steps for the explorer, without what can't matter any more."""
    for move, successor in moves(state, rules):
        label = f"t={state.now} {move.kind} {move.message or move.borrower}"
        yield Step(label, reduce(successor, rules))


def reduce(state: State, rules: Rules = DESIGNED) -> State:
    """Drop messages and times that no step can read again."""
    net = frozenset(msg for msg in state.net if _matters(state, msg, rules))
    sides = tuple(_reduce_side(state, borrower, rules) for borrower in BORROWERS)
    return state._replace(net=net, sides=sides)


def _matters(state: State, message: Ask | Reply, rules: Rules) -> bool:
    if isinstance(message, Ask):
        first, second = (lines[message.borrower] for lines in state.lines)
        for_first = state.now < LAPSE and message.number > first.last_ask
        return for_first or message.number > second.last_ask
    side = state.sides[message.borrower]
    end = side.sent[message.number - 1] + DURATION
    in_time = rules.clock_starts_at_receipt or state.now < end
    return in_time and message.number > side.answered


def _reduce_side(state: State, borrower: int, rules: Rules) -> Side:
    side = state.sides[borrower]
    sent = tuple(
        0 if number <= side.answered else max(at, state.now - DURATION)
        for number, at in enumerate(side.sent, 1)
    )
    over = rules.rereads_clock and usable(state, borrower) == 0
    return side._replace(sent=sent, held=None if over else side.held)


def _clock(state: State) -> Iterator[tuple[Move, State]]:
    if state.claimed is None and state.now >= LAPSE:
        yield Move("claim"), state._replace(claimed=state.now)
    if state.now == LAST_TICK:
        return
    now = state.now + 1
    lines = tuple(
        tuple(
            line._replace(layers=tuple(la for la in line.layers if now < la.end))
            for line in row
        )
        for row in state.lines
    )
    yield Move("tick"), state._replace(now=now, lines=lines)


def _send_ask(
    state: State, borrower: int, rules: Rules
) -> Iterator[tuple[Move, State]]:
    side = state.sides[borrower]
    if len(side.sent) == rules.asks:
        return
    ask = Ask(borrower, len(side.sent) + 1)
    side = side._replace(sent=(*side.sent, state.now))
    yield (
        Move("ask", borrower, ask),
        _with_side(state, borrower, side)._replace(net=state.net | {ask}),
    )


def _take_ask(state: State, ask: Ask, rules: Rules) -> Iterator[tuple[Move, State]]:
    for incarnation, lines in enumerate(state.lines):
        line = lines[ask.borrower]
        if not may_grant(state, incarnation, rules) or ask.number <= line.last_ask:
            continue
        line = line._replace(last_ask=ask.number)
        move = Move("grant", ask.borrower, ask, incarnation)
        yield move, _with_line(state, incarnation, ask.borrower, line)
        others = sum(reserved(lines[b]) for b in BORROWERS if b != ask.borrower)
        elsewhere = sum(li.running for li in state.lines[1 - incarnation])
        for amount in range(1, CAP - others - elsewhere + 1):
            layer = Layer(ask.number, amount, state.now + DURATION + MARGIN)
            kept = line.layers if rules.renewal_keeps_reservation else ()
            layered = line._replace(layers=(*kept, layer))
            reply = Reply(ask.borrower, ask.number, incarnation, amount)
            successor = _with_line(state, incarnation, ask.borrower, layered)
            yield move, successor._replace(net=state.net | {reply})


def _take_reply(
    state: State, reply: Reply, rules: Rules
) -> Iterator[tuple[Move, State]]:
    side = state.sides[reply.borrower]
    if reply.number <= side.answered:
        return
    start = state.now if rules.clock_starts_at_receipt else side.sent[reply.number - 1]
    held = Held(reply.incarnation, reply.number, reply.amount, start + DURATION)
    side = side._replace(answered=reply.number, held=held)
    yield (
        Move("reply", reply.borrower, reply),
        _with_side(state, reply.borrower, side),
    )


def _send_work(
    state: State, borrower: int, rules: Rules
) -> Iterator[tuple[Move, State]]:
    side = state.sides[borrower]
    held = side.held
    if held is None or side.work_sent == rules.work:
        return
    if not rules.rereads_clock and not side.checked:
        if side.in_use < usable(state, borrower):
            yield (
                Move("check", borrower),
                _with_side(state, borrower, side._replace(checked=True)),
            )
        return
    if rules.rereads_clock and side.in_use >= usable(state, borrower):
        return
    work = Work(borrower, side.work_sent, held.incarnation, held.ask, state.now)
    side = side._replace(
        in_use=side.in_use + 1, work_sent=side.work_sent + 1, checked=False
    )
    yield (
        Move("send", borrower, work),
        _with_side(state, borrower, side)._replace(work=state.work | {work}),
    )


def _take_work(state: State, work: Work) -> tuple[Move, State]:
    line = state.lines[work.incarnation][work.borrower]
    left = state._replace(work=state.work - {work})
    move = Move("arrive", work.borrower, work, work.incarnation)
    is_live = any(layer.ask == work.ask for layer in line.layers)
    if is_live and line.running < granted(line):
        counted = line._replace(running=line.running + 1)
        return move, _with_line(left, work.incarnation, work.borrower, counted)
    side = state.sides[work.borrower]
    refused = _with_side(left, work.borrower, side._replace(in_use=side.in_use - 1))
    in_time = state.now < work.sent + MARGIN
    return move, refused._replace(late_refusal=state.late_refusal or in_time)


def _end_work(state: State) -> Iterator[tuple[Move, State]]:
    for incarnation, lines in enumerate(state.lines):
        for borrower, line in enumerate(lines):
            if line.running == 0:
                continue
            side = state.sides[borrower]
            ended = _with_side(state, borrower, side._replace(in_use=side.in_use - 1))
            line = line._replace(running=line.running - 1)
            yield (
                Move("end", borrower, None, incarnation),
                _with_line(ended, incarnation, borrower, line),
            )


def _with_side(state: State, borrower: int, side: Side) -> State:
    sides = tuple(side if b == borrower else state.sides[b] for b in BORROWERS)
    return state._replace(sides=sides)


def _with_line(state: State, incarnation: int, borrower: int, line: Line) -> State:
    lines = [list(row) for row in state.lines]
    lines[incarnation][borrower] = line
    return state._replace(lines=tuple(tuple(row) for row in lines))
