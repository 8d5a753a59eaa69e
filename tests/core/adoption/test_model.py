"""Model check of publishing and adoption.

Two operators race, writes land late or twice, answers get lost, reads are stale,
and three instances poll, gossip and restart.
"""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

RESTARTS = 1
TRIES = 2


class Operator(NamedTuple):
    """One publish: the base it was made on, tries so far and what it was told."""

    base: int = -1
    tries: int = 0
    told: str = ""


class Instance(NamedTuple):
    """One life of an instance: its position and the highest version in force."""

    log: tuple = ()
    highest: int = 0


class World(NamedTuple):
    log: tuple = ()
    operators: tuple = (Operator(), Operator())
    flying: frozenset = frozenset()
    instances: tuple = (Instance(),) * 3
    restarts: int = 0


class Rules(NamedTuple):
    """Name the wrong variants."""

    unconditional_head: bool = False
    unsettled_retry: bool = False
    downward_reads: bool = False
    reset_by_peers: bool = False


def replaced(items, place, item):
    return (*items[:place], item, *items[place + 1 :])


def operator_steps(world, place, rules):
    operator = world.operators[place]

    def then(**changes):
        row = operator._replace(**changes)
        return world._replace(operators=replaced(world.operators, place, row))

    if operator.told or operator.tries == TRIES:
        return
    if operator.base < 0:
        for base in range(len(world.log) + 1):
            yield Step(f"{place} reads {base}", then(base=base))
        return
    if operator.tries and not rules.unsettled_retry and place in world.log:
        yield Step(f"{place} settles", then(told="accepted"))
        return
    base = len(world.log) if operator.tries and rules.unsettled_retry else operator.base
    write = (place, base, operator.tries)
    sent = then(tries=operator.tries + 1)
    yield Step(f"{place} sends", sent._replace(flying=world.flying | {write}))


def write_steps(world, write, rules):
    place, base, _ = write
    left = world._replace(flying=world.flying - {write})
    operator = world.operators[place]
    settles = not rules.unsettled_retry and place in world.log
    if settles or (base != len(world.log) and not rules.unconditional_head):
        yield Step(f"{write} refused", left)
        if not operator.told and not settles:
            row = operator._replace(told="conflict")
            heard = left._replace(operators=replaced(world.operators, place, row))
            yield Step(f"{write} refused, told", heard)
        return
    landed = left._replace(log=(*world.log[:base], place))
    yield Step(f"{write} lands, answer lost", landed)
    if not operator.told:
        row = operator._replace(told="accepted")
        heard = landed._replace(operators=replaced(world.operators, place, row))
        yield Step(f"{write} lands, told", heard)


def instance_steps(world, place, rules):
    instance = world.instances[place]

    def at(log):
        row = Instance(log, max(instance.highest, len(log)))
        return world._replace(instances=replaced(world.instances, place, row))

    for length in range(len(world.log) + 1):
        read = world.log[:length]
        follows = read[: len(instance.log)] == instance.log
        if rules.downward_reads or (length > len(instance.log) and follows):
            yield Step(f"{place} reads {length}", at(read))
    for peer in world.instances:
        follows = peer.log[: len(instance.log)] == instance.log
        if rules.reset_by_peers or (len(peer.log) > len(instance.log) and follows):
            yield Step(f"{place} hears {peer.log}", at(peer.log))
    if world.restarts < RESTARTS:
        rows = replaced(world.instances, place, Instance())
        restarted = world._replace(instances=rows, restarts=world.restarts + 1)
        yield Step(f"{place} restarts", restarted)


def steps_under(rules):
    def steps(world):
        for place in range(2):
            yield from operator_steps(world, place, rules)
        for write in world.flying:
            yield from write_steps(world, write, rules)
        for place in range(3):
            yield from instance_steps(world, place, rules)

    return steps


def violated(world):
    if len(set(world.log)) < len(world.log):
        return "a publish was applied twice"
    for place, operator in enumerate(world.operators):
        if operator.told == "accepted" and place not in world.log:
            return "an accepted publish was lost"
    for instance in world.instances:
        if len(instance.log) < instance.highest:
            return "an instance went back"
        if instance.log != world.log[: len(instance.log)]:
            return "an instance follows another order"
    return None


def test_every_instance_follows_one_order_upwards():
    explored = explore(World(), steps_under(Rules()), violated)
    assert explored.violation is None, explored.trace
    assert explored.states > 1_000


@pytest.mark.parametrize("rule", Rules._fields)
def test_wrong_variant_is_caught(rule):
    rules = Rules(**{rule: True})
    assert explore(World(), steps_under(rules), violated).violation is not None


def test_operator_told_of_a_conflict_was_not_published():
    def contradicts(world):
        for place, operator in enumerate(world.operators):
            if operator.told == "conflict" and place in world.log:
                return "a publish told as conflict is in the log"
        return None

    assert explore(World(), steps_under(Rules()), contradicts).violation is None
