"""Specification of publishing by two operators and adoption by three instances.

A publish id represents its change and takes one version; a log is a tuple of ids.
Transactions may reach the store late or never, and their answers may be lost.
Reads may return any earlier log. Instances learn logs from the store and from
each other, and restart empty. The store may be restored from a backup.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

Log = tuple[str, ...]

IDS = ("a", "b")


class Rules(NamedTuple):
    """Select the protocol as designed or a deliberately wrong variant."""

    id_is_unique: bool = True
    head_is_compared: bool = True
    settles_by_id: bool = True
    rebases_automatically: bool = False
    awaits_base: bool = True
    repeats_fence: bool = True
    versions_only_increase: bool = True
    chain_is_verified: bool = True


class Transaction(NamedTuple):
    """Represent a request to append the publish id if the log's length is base."""

    publish_id: str
    base: int


class Operator(NamedTuple):
    """Hold the phase, base, remaining sends and remaining repeats of a publish."""

    phase: str = "idle"
    base: int = 0
    sends: int = 2
    repeats: int = 1


class State(NamedTuple):
    """Hold the store's log, the operators, messages and the instances' logs."""

    log: Log = ()
    operators: tuple[Operator, ...] = (Operator(), Operator())
    messages: tuple[Transaction, ...] = ()
    in_force: tuple[Log, ...] = ((), (), ())
    restarts: int = 1
    restores: int = 0
    was_restored: bool = False
    reverted: bool = False


def violated_invariant(state: State) -> str | None:
    """Return the name of the violated invariant, or None if all invariants hold."""
    if state.reverted:
        return "an instance reverted"
    if len(set(state.log)) < len(state.log):
        return "a publish was applied twice"
    if state.was_restored:
        return None
    for publish_id, operator in zip(IDS, state.operators, strict=True):
        if operator.phase == "published" and publish_id not in state.log:
            return "an accepted publish was lost"
        if operator.phase == "conflict" and publish_id in state.log:
            return "a publish reported as a conflict was applied"
    logs = (state.log, *state.in_force)
    if not all(_one_is_prefix(first, second) for first in logs for second in logs):
        return "two logs order the publishes differently"
    return None


def steps(state: State, rules: Rules) -> Iterator[Step[State]]:
    """Yield every step that is enabled in the state."""
    for index in range(len(IDS)):
        yield from _operator_steps(state, index, rules)
    for message in set(state.messages):
        yield from _message_steps(state, message, rules)
    for index in range(len(state.in_force)):
        yield from _instance_steps(state, index, rules)
    if state.restores and state.log:
        restored = state._replace(
            log=state.log[:-1], restores=state.restores - 1, was_restored=True
        )
        yield Step("store restored", restored)


def _operator_steps(state: State, index: int, rules: Rules) -> Iterator[Step[State]]:
    operator, name = state.operators[index], IDS[index]
    if operator.phase == "idle":
        for base in range(len(state.log) + 1):
            based = operator._replace(phase="settling", base=base)
            yield Step(f"{name} reads {base}", _with_operator(state, index, based))
    if operator.phase == "sent":
        settling = operator._replace(phase="settling")
        yield Step(f"{name} waits no longer", _with_operator(state, index, settling))
    if operator.phase == "settling":
        yield from _settling_steps(state, index, rules)
    if operator.phase in ("conflict", "unknown") and operator.repeats:
        yield Step(f"{name} publishes again", _after_repeat(state, index, rules))


def _after_repeat(state: State, index: int, rules: Rules) -> State:
    """Return the state after rewriting the head, which voids pending transactions."""
    operator = state.operators[index]._replace(
        phase="idle", repeats=state.operators[index].repeats - 1
    )
    if not rules.repeats_fence:
        return _with_operator(state, index, operator)
    based = operator._replace(phase="settling", base=len(state.log))
    return _with_operator(state, index, based)._replace(messages=())


def _settling_steps(state: State, index: int, rules: Rules) -> Iterator[Step[State]]:
    """Yield the decisions after reading the publish id and head of an earlier log."""
    operator, name = state.operators[index], IDS[index]
    for length in range(len(state.log) + 1):
        seen = state.log[:length]
        if rules.settles_by_id and name in seen:
            phase = "published"
        elif length > operator.base and rules.rebases_automatically and operator.sends:
            rebased = operator._replace(base=length)
            sent = _after_send(_with_operator(state, index, rebased), index)
            yield Step(f"{name} sends anew on {length}", sent)
            continue
        elif length > operator.base:
            phase = "conflict"
        elif length < operator.base:
            if rules.awaits_base:
                continue
            phase = "conflict"
        elif operator.sends:
            yield Step(f"{name} sends on {length}", _after_send(state, index))
            continue
        else:
            phase = "unknown"
        decided = _with_operator(state, index, operator._replace(phase=phase))
        yield Step(f"{name} reads {length}: {phase}", decided)


def _after_send(state: State, index: int) -> State:
    operator = state.operators[index]
    message = Transaction(IDS[index], operator.base)
    sent = operator._replace(phase="sent", sends=operator.sends - 1)
    messages = tuple(sorted((*state.messages, message)))
    return _with_operator(state, index, sent)._replace(messages=messages)


def _message_steps(
    state: State, message: Transaction, rules: Rules
) -> Iterator[Step[State]]:
    left = list(state.messages)
    left.remove(message)
    without = state._replace(messages=tuple(left))
    yield Step(f"{message} lost", without)
    log, appended = _log_after_append(state.log, message, rules)
    after = without._replace(log=log)
    yield Step(f"{message} reaches the store, its answer is lost", after)
    index = IDS.index(message.publish_id)
    operator = state.operators[index]
    if operator.phase == "sent" and operator.base == message.base:
        answered = operator._replace(phase="published" if appended else "settling")
        yield Step(f"{message} answered", _with_operator(after, index, answered))


def _log_after_append(log: Log, message: Transaction, rules: Rules) -> tuple[Log, bool]:
    if rules.id_is_unique and message.publish_id in log:
        return log, False
    if rules.head_is_compared and len(log) != message.base:
        return log, False
    return (*log[: message.base], message.publish_id), True


def _instance_steps(state: State, index: int, rules: Rules) -> Iterator[Step[State]]:
    own = state.in_force[index]
    from_store = [state.log[:length] for length in range(len(state.log) + 1)]
    for seen in {*from_store, *state.in_force}:
        if seen != own and _is_adopted(own, seen, rules):
            adopted = _with_log_in_force(state, index, seen)
            reverted = state.reverted or seen[: len(own)] != own
            label = f"instance {index} takes {seen}"
            yield Step(label, adopted._replace(reverted=reverted))
    if state.restarts and own:
        fresh = _with_log_in_force(state, index, ())
        restarts = state.restarts - 1
        yield Step(f"instance {index} restarts", fresh._replace(restarts=restarts))


def _is_adopted(own: Log, seen: Log, rules: Rules) -> bool:
    if rules.versions_only_increase and len(seen) <= len(own):
        return False
    return not rules.chain_is_verified or _one_is_prefix(own, seen)


def _one_is_prefix(first: Log, second: Log) -> bool:
    shorter = min(len(first), len(second))
    return first[:shorter] == second[:shorter]


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _with_log_in_force(state: State, index: int, log: Log) -> State:
    """Return the state with the log in force at the instance of this index.

    The instances' logs are kept sorted, as states that differ only in which instance
    holds which log are equivalent.
    """
    logs = list(state.in_force)
    logs[index] = log
    return state._replace(in_force=tuple(sorted(logs)))
