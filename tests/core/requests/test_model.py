"""Model-check that late or duplicate answers never reach another request."""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

REQUESTS = 3


class ConnectionState(NamedTuple):
    """Represent one connection and the answers in its buffers, oldest first.

    If echoes is set, the backend server returns attempt ids, so that an answer
    names its request.
    """

    echoes: bool
    sent: int = 0
    waiting: int = 0
    answers: tuple = ()
    unanswered: tuple = ()
    delayed: tuple = ()
    duplicates_left: int = 1
    proven: bool = False
    taken: tuple = ()


class Rules(NamedTuple):
    """Select wrong variants of the rules; all False are the rules in use."""

    reuses_unproven: bool = False
    reuses_after_timeout: bool = False
    ignores_echo: bool = False


def reset_connection(state):
    return state._replace(answers=(), unanswered=(), delayed=(), proven=False)


def is_accepted(state, answer, rules):
    if rules.ignores_echo:
        return True
    if state.echoes:
        return answer == state.waiting
    return not state.proven


def steps_under(rules):
    def steps(state):
        if not state.waiting and state.sent < REQUESTS:
            request = state.sent + 1
            reused = state.proven or rules.reuses_unproven or rules.reuses_after_timeout
            if not reused or state.answers:
                state = reset_connection(state)
            yield Step(
                f"request {request} is sent",
                state._replace(
                    sent=request,
                    waiting=request,
                    unanswered=(*state.unanswered, request),
                ),
            )
        if state.unanswered:
            first, *rest = state.unanswered
            answered = state._replace(
                unanswered=tuple(rest), answers=(*state.answers, first)
            )
            yield Step(f"{first} is answered", answered)
            if state.duplicates_left:
                duplicated = answered._replace(
                    delayed=(first,), duplicates_left=state.duplicates_left - 1
                )
                yield Step(f"{first} is answered twice", duplicated)
        if state.delayed:
            arrived = state._replace(answers=state.answers + state.delayed, delayed=())
            yield Step(f"the second answer of {state.delayed} arrives", arrived)
        if state.waiting and state.answers:
            yield take_or_refuse_answer(state, rules)
        if state.waiting:
            timed_out = state._replace(waiting=0)
            if not rules.reuses_after_timeout:
                timed_out = reset_connection(timed_out)
            yield Step(f"{state.waiting} times out", timed_out)

    return steps


def take_or_refuse_answer(state, rules):
    answer, *rest = state.answers
    if not is_accepted(state, answer, rules):
        return Step(
            f"{state.waiting} refuses", reset_connection(state)._replace(waiting=0)
        )
    pair = (state.waiting, answer)
    taken = state._replace(
        waiting=0,
        answers=tuple(rest),
        proven=state.echoes,
        taken=(*state.taken, pair),
    )
    return Step(f"{state.waiting} takes the answer of {answer}", taken)


def invariant_violation(state):
    crossed = any(request != answer for request, answer in state.taken)
    return "answer to another request" if crossed else None


@pytest.mark.parametrize("echoes", [True, False])
def test_accepted_answers_belong_to_their_request(echoes):
    explored = explore(
        ConnectionState(echoes), steps_under(Rules()), invariant_violation
    )
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
    explored = explore(ConnectionState(echoes), steps_under(rules), invariant_violation)
    assert explored.violation == "answer to another request"
