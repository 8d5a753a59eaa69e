"""Check a model of publishing and adoption in every reachable state.

Two operators publish concurrently, writes are applied late or twice, answers are
lost, reads are stale, and three instances poll, gossip and restart.
"""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

MAX_RESTARTS = 1
MAX_TRIES = 2


class Operator(NamedTuple):
    """Hold a publish: its base version, the tries so far and the reported outcome."""

    base: int = -1
    tries: int = 0
    outcome: str = ""


class Instance(NamedTuple):
    """Hold an instance since its start: its log and the highest version in force."""

    log: tuple = ()
    highest: int = 0


class ModelState(NamedTuple):
    """Hold the published log, the operators, writes in flight and instances."""

    log: tuple = ()
    operators: tuple = (Operator(), Operator())
    in_flight: frozenset = frozenset()
    instances: tuple = (Instance(),) * 3
    restarts: int = 0


class Faults(NamedTuple):
    """Select faults of the protocol, each of which the invariants must detect."""

    unconditional_head: bool = False
    unsettled_retry: bool = False
    downward_reads: bool = False
    reset_by_peers: bool = False


def replaced(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def operator_steps(state, index, faults):
    operator = state.operators[index]

    def with_operator(**changes):
        row = operator._replace(**changes)
        return state._replace(operators=replaced(state.operators, index, row))

    if operator.outcome or operator.tries == MAX_TRIES:
        return
    if operator.base < 0:
        for base in range(len(state.log) + 1):
            yield Step(f"{index} reads {base}", with_operator(base=base))
        return
    if operator.tries and not faults.unsettled_retry and index in state.log:
        yield Step(f"{index} settles", with_operator(outcome="accepted"))
        return
    base = (
        len(state.log) if operator.tries and faults.unsettled_retry else operator.base
    )
    write = (index, base, operator.tries)
    sent = with_operator(tries=operator.tries + 1)
    yield Step(f"{index} sends", sent._replace(in_flight=state.in_flight | {write}))


def write_steps(state, write, faults):
    index, base, _ = write
    removed = state._replace(in_flight=state.in_flight - {write})
    operator = state.operators[index]
    settles = not faults.unsettled_retry and index in state.log
    if settles or (base != len(state.log) and not faults.unconditional_head):
        yield Step(f"{write} refused", removed)
        if not operator.outcome and not settles:
            row = operator._replace(outcome="conflict")
            answered = removed._replace(operators=replaced(state.operators, index, row))
            yield Step(f"{write} refused, answered", answered)
        return
    applied = removed._replace(log=(*state.log[:base], index))
    yield Step(f"{write} applied, answer lost", applied)
    if not operator.outcome:
        row = operator._replace(outcome="accepted")
        answered = applied._replace(operators=replaced(state.operators, index, row))
        yield Step(f"{write} applied, answered", answered)


def instance_steps(state, index, faults):
    instance = state.instances[index]

    def with_log(log):
        row = Instance(log, max(instance.highest, len(log)))
        return state._replace(instances=replaced(state.instances, index, row))

    for length in range(len(state.log) + 1):
        read = state.log[:length]
        follows = read[: len(instance.log)] == instance.log
        if faults.downward_reads or (length > len(instance.log) and follows):
            yield Step(f"{index} reads {length}", with_log(read))
    for peer in state.instances:
        follows = peer.log[: len(instance.log)] == instance.log
        if faults.reset_by_peers or (len(peer.log) > len(instance.log) and follows):
            yield Step(f"{index} adopts {peer.log} from a peer", with_log(peer.log))
    if state.restarts < MAX_RESTARTS:
        instances = replaced(state.instances, index, Instance())
        restarted = state._replace(instances=instances, restarts=state.restarts + 1)
        yield Step(f"{index} restarts", restarted)


def steps_with(faults):
    def steps(state):
        for index in range(2):
            yield from operator_steps(state, index, faults)
        for write in state.in_flight:
            yield from write_steps(state, write, faults)
        for index in range(3):
            yield from instance_steps(state, index, faults)

    return steps


def find_violation(state):
    if len(set(state.log)) < len(state.log):
        return "a publish was applied twice"
    for index, operator in enumerate(state.operators):
        if operator.outcome == "accepted" and index not in state.log:
            return "an accepted publish was lost"
    for instance in state.instances:
        if len(instance.log) < instance.highest:
            return "an instance reverted to a lower version"
        if instance.log != state.log[: len(instance.log)]:
            return "an instance follows a different log"
    return None


def test_every_instance_follows_one_log_without_reverting():
    explored = explore(ModelState(), steps_with(Faults()), find_violation)
    assert explored.violation is None, explored.trace
    assert explored.states > 1_000


@pytest.mark.parametrize("fault", Faults._fields)
def test_fault_is_detected(fault):
    faults = Faults(**{fault: True})
    assert (
        explore(ModelState(), steps_with(faults), find_violation).violation is not None
    )


def test_publish_answered_with_a_conflict_is_not_in_the_log():
    def contradicts(state):
        for index, operator in enumerate(state.operators):
            if operator.outcome == "conflict" and index in state.log:
                return "a publish answered with a conflict is in the log"
        return None

    assert explore(ModelState(), steps_with(Faults()), contradicts).violation is None
