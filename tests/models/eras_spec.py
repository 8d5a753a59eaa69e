"""Specification of following a store that comes back from older copies of itself.

The store holds one row, the operator's configuration. Each loss takes the row and the
counter of versions back and begins another era, in which versions are given out again;
the operator then writes again. Two instances read the store or each other, and answers
arrive late. Rows carry the era in which they were read, which the protocol may ignore.
"""

from collections.abc import Iterator
from typing import NamedTuple

from models.explorer import Step

MAX_ROUNDS = 4


class Rules(NamedTuple):
    """Select the protocol as designed or a deliberately wrong variant."""

    versions_carry_era: bool = True
    peers_name_era: bool = True
    older_eras_are_ignored: bool = True
    lists_in_new_era: bool = True
    expects_current_era: bool = True
    configurations_only_increase: bool = True


class Row(NamedTuple):
    """Hold a row's version, value and the era in which it was read."""

    version: int = 0
    value: int = 0
    era: int = 0


class Store(NamedTuple):
    """Hold the store's era, its counter of versions and its row."""

    era: int = 0
    version: int = 0
    row: Row = Row()


class Answer(NamedTuple):
    """Hold a listing, or the changes after a version; row is None if it is older."""

    era: int
    version: int
    row: Row | None
    is_complete: bool


class Instance(NamedTuple):
    """Hold the newest era seen, the table as of an era, and an answer on its way.

    `newest_era` is the newest era that the table has had.
    """

    seen_era: int = 0
    era: int = 0
    newest_era: int = 0
    version: int = 0
    row: Row = Row()
    in_force: int = 0
    answer: Answer | None = None


class State(NamedTuple):
    """Hold the store, its copies, the instances and what may still happen."""

    store: Store = Store()
    copies: frozenset[Store] = frozenset()
    instances: tuple[Instance, ...] = (Instance(), Instance())
    written: int = 0
    writes: int = 2
    losses: int = 2
    violation: str | None = None


def violated_invariant(state: State, rules: Rules) -> str | None:
    """Return what is wrong in the state, or None.

    From every state, the instances must follow the store once it is calm, whichever
    of them reads it.
    """
    if state.violation is not None:
        return state.violation
    if any(instance.era < instance.newest_era for instance in state.instances):
        return "a table goes back to an older era"
    for reader in range(len(state.instances)):
        settled = _settle(state, reader, rules)
        if settled.violation is not None:
            return settled.violation
        if any(i.in_force != state.written for i in settled.instances):
            return "an instance does not follow the store"
    return None


def steps(state: State, rules: Rules) -> Iterator[Step[State]]:
    """Yield every step that is enabled in the state."""
    if state.writes:
        number = state.written + 1
        after = _with_row(state, number)._replace(written=number)
        yield Step(f"operator writes {number}", after._replace(writes=state.writes - 1))
    if state.store.row.value != state.written:
        yield Step("operator writes again", _write_again(state))
    if state.losses:
        for copy in state.copies:
            store = copy._replace(era=state.store.era + 1)
            lost = state._replace(store=store, losses=state.losses - 1)
            yield Step(f"store comes back at version {copy.version}", lost)
    for index, instance in enumerate(state.instances):
        if instance.answer is None:
            asked = _ask_store(state, index, rules)
            yield Step(f"{index} asks the store", asked)
            yield Step(f"{index} asks the other", _ask_other(state, index, rules))
        else:
            yield Step(f"{index} gets its answer", _take_answer(state, index, rules))
            lost = instance._replace(answer=None)
            yield Step(f"{index} loses its answer", _with(state, index, lost))
        if instance.seen_era < state.store.era:
            told = instance._replace(seen_era=state.store.era)
            yield Step(f"{index} hears of the era", _with(state, index, told))
        if instance.row.version and not _is_sound_expect(instance, rules):
            expecting = state._replace(
                violation="a version of an older era is expected"
            )
            yield Step(f"{index} expects {instance.row.version}", expecting)


def _is_sound_expect(instance: Instance, rules: Rules) -> bool:
    """Return True if a transaction expects no version of an older era."""
    return rules.expects_current_era or instance.row.era == instance.seen_era


def _settle(state: State, reader: int, rules: Rules) -> State:
    """Return the state after all answers, the operator's row and some rounds."""
    for index, instance in enumerate(state.instances):
        if instance.answer is not None:
            state = _take_answer(state, index, rules)
    if state.store.row.value != state.written:
        state = _write_again(state)
    for _ in range(MAX_ROUNDS):
        state = _take_answer(_ask_store(state, reader, rules), reader, rules)
        other = 1 - reader
        state = _take_answer(_ask_other(state, other, rules), other, rules)
    return state


def _with_row(state: State, value: int) -> State:
    version = state.store.version + 1
    store = state.store._replace(version=version, row=Row(version, value))
    return state._replace(store=store, copies=state.copies | {state.store})


def _write_again(state: State) -> State:
    return _with_row(state, state.written)


def _ask_store(state: State, index: int, rules: Rules) -> State:
    """Return the state with the store's answer on its way to an instance.

    A store that does not have the version that is asked for gives a listing, which
    the instance asks for then.
    """
    instance, store = state.instances[index], state.store
    row = store.row._replace(era=store.era)
    after = instance.version
    if rules.lists_in_new_era and instance.era != instance.seen_era:
        after = 0
    if not after or after > store.version:
        answer = Answer(store.era, store.version, row, is_complete=True)
    else:
        changed = row if row.version > after else None
        answer = Answer(store.era, store.version, changed, is_complete=False)
    return _with(state, index, instance._replace(answer=answer))


def _ask_other(state: State, index: int, rules: Rules) -> State:
    """Return the state with the other instance's answer on its way."""
    instance, other = state.instances[index], state.instances[1 - index]
    same_era = not rules.peers_name_era or instance.era == other.era
    is_complete = not same_era or not instance.version
    row = other.row if is_complete or other.row.version > instance.version else None
    era = other.era if rules.peers_name_era else instance.era
    answer = Answer(era, other.version, row, is_complete)
    return _with(state, index, instance._replace(answer=answer))


def _take_answer(state: State, index: int, rules: Rules) -> State:
    instance = state.instances[index]
    answer, instance = instance.answer, instance._replace(answer=None)
    assert answer is not None
    if not rules.versions_carry_era:
        return _apply(state, index, instance, answer, rules)
    if answer.era < instance.seen_era and rules.older_eras_are_ignored:
        return _with(state, index, instance)
    instance = instance._replace(seen_era=max(instance.seen_era, answer.era))
    if answer.era == instance.era:
        return _apply(state, index, instance, answer, rules)
    if rules.lists_in_new_era and not answer.is_complete:
        # Changes of another era follow no version that the instance knows.
        return _with(state, index, instance)
    newest_era = max(instance.newest_era, answer.era)
    instance = instance._replace(era=answer.era, newest_era=newest_era)
    instance = instance._replace(version=answer.version)
    if answer.row is None:
        return _with(state, index, instance)
    return _put(state, index, instance, answer.row, rules)


def _apply(
    state: State, index: int, instance: Instance, answer: Answer, rules: Rules
) -> State:
    """Apply an answer by comparing its versions with those of the table."""
    row = answer.row
    if row is not None and instance.row.version and row.era != instance.row.era:
        state = state._replace(violation="versions of two eras are compared")
    version = max(instance.version, answer.version)
    if row is None or row.version <= instance.row.version:
        return _with(state, index, instance._replace(version=version))
    return _put(state, index, instance._replace(version=version), row, rules)


def _put(state: State, index: int, instance: Instance, row: Row, rules: Rules) -> State:
    """Take a row; a configuration that is older than the one in force does not act."""
    in_force = row.value
    if rules.configurations_only_increase:
        in_force = max(in_force, instance.in_force)
    elif in_force < instance.in_force:
        state = state._replace(violation="an older configuration is in force")
    return _with(state, index, instance._replace(row=row, in_force=in_force))


def _with(state: State, index: int, instance: Instance) -> State:
    instances = list(state.instances)
    instances[index] = instance
    return state._replace(instances=tuple(instances))


def canonical(state: State) -> State:
    """Return the state that stands for those which differ in the instances' order."""
    return state._replace(instances=tuple(sorted(state.instances, key=repr)))
