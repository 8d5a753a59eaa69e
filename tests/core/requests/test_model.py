"""Model check of connections: a late or doubled answer meets no other request."""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

REQUESTS = 3


class World(NamedTuple):
    """One connection and the answers in its buffers, oldest first.

    An answer names its request where the backend server echoes attempt ids.
    """

    echoes: bool
    sent: int = 0
    waiting: int = 0
    answers: tuple = ()
    unanswered: tuple = ()
    late: tuple = ()
    doubles: int = 1
    proven: bool = False
    taken: tuple = ()


class Rules(NamedTuple):
    """Wrong variants; all false is the rule that connections keep."""

    reuses_unproven: bool = False
    reuses_after_timeout: bool = False
    ignores_echo: bool = False


def fresh(world):
    return world._replace(answers=(), unanswered=(), late=(), proven=False)


def is_accepted(world, answer, rules):
    if rules.ignores_echo:
        return True
    if world.echoes:
        return answer == world.waiting
    return not world.proven


def steps_under(rules):
    def steps(world):
        if not world.waiting and world.sent < REQUESTS:
            request = world.sent + 1
            reused = world.proven or rules.reuses_unproven or rules.reuses_after_timeout
            if not reused or world.answers:
                world = fresh(world)
            yield Step(
                f"request {request} is sent",
                world._replace(
                    sent=request,
                    waiting=request,
                    unanswered=(*world.unanswered, request),
                ),
            )
        if world.unanswered:
            first, *rest = world.unanswered
            answered = world._replace(
                unanswered=tuple(rest), answers=(*world.answers, first)
            )
            yield Step(f"{first} is answered", answered)
            if world.doubles:
                doubled = answered._replace(late=(first,), doubles=world.doubles - 1)
                yield Step(f"{first} is answered twice", doubled)
        if world.late:
            landed = world._replace(answers=world.answers + world.late, late=())
            yield Step(f"the second answer of {world.late} arrives", landed)
        if world.waiting and world.answers:
            yield take_answer(world, rules)
        if world.waiting:
            timed_out = world._replace(waiting=0)
            if not rules.reuses_after_timeout:
                timed_out = fresh(timed_out)
            yield Step(f"{world.waiting} times out", timed_out)

    return steps


def take_answer(world, rules):
    answer, *rest = world.answers
    if not is_accepted(world, answer, rules):
        return Step(f"{world.waiting} refuses", fresh(world)._replace(waiting=0))
    pair = (world.waiting, answer)
    taken = world._replace(
        waiting=0,
        answers=tuple(rest),
        proven=world.echoes,
        taken=(*world.taken, pair),
    )
    return Step(f"{world.waiting} takes the answer of {answer}", taken)


def violated(world):
    crossed = any(request != answer for request, answer in world.taken)
    return "answer to another request" if crossed else None


@pytest.mark.parametrize("echoes", [True, False])
def test_every_answer_taken_is_the_request_s_own(echoes):
    explored = explore(World(echoes), steps_under(Rules()), violated)
    assert explored.violation is None, explored.trace
    assert explored.states > 50


@pytest.mark.parametrize(
    ("echoes", "rule"),
    [
        (False, "reuses_unproven"),
        (True, "ignores_echo"),
        (False, "reuses_after_timeout"),
    ],
)
def test_wrong_variant_is_caught(echoes, rule):
    rules = Rules(**{rule: True})
    explored = explore(World(echoes), steps_under(rules), violated)
    assert explored.violation == "answer to another request"
