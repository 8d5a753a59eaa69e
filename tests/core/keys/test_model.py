"""Model-check that a key runs at most once, with two instances and a lossy store.

Claims may take effect late, their answers may be lost, instances restart and lose
their state, an attempt may reach the backend server after its connection was lost,
and the caller repeats its request at either instance.
"""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

REQUESTS = 3
RESTARTS = 1


class Instance(NamedTuple):
    """Represent one incarnation: its claim, phase, waiting requests and attempt."""

    incarnation: int = 0
    claim: int = 0
    phase: str = "idle"
    requests: frozenset = frozenset()
    attempt: str = "none"


class State(NamedTuple):
    a: Instance = Instance()
    b: Instance = Instance()
    row: tuple | None = None
    recorded: str = ""
    claims: frozenset = frozenset()
    delayed_runs: tuple = ()
    runs: tuple = ()
    reported: tuple = ((),) * REQUESTS
    sent: int = 0
    restarts: int = 0


def report_outcome(state, requests, outcome):
    """Report one outcome to all requests; earlier reports are kept."""
    rows = tuple(
        (*outcomes, outcome) if request in requests else outcomes
        for request, outcomes in enumerate(state.reported)
    )
    return state._replace(reported=rows)


def with_instance(state, name, instance):
    return state._replace(**{name: instance})


def end_requests(state, name, phase, outcome):
    instance = getattr(state, name)
    state = report_outcome(state, instance.requests, outcome)
    done = instance._replace(phase=phase, requests=frozenset(), attempt="none")
    return with_instance(state, name, done)


def add_request(state, name, request, rules, passed=False):
    instance = getattr(state, name)
    joined = instance._replace(requests=instance.requests | {request})
    if instance.phase in ("claiming", "reading", "running"):
        return with_instance(state, name, joined)
    if instance.phase in ("idle", "unsettled"):
        claim = instance.claim + 1 if instance.phase == "idle" else instance.claim
        claiming = joined._replace(phase="claiming", claim=claim)
        claims = state.claims | {(name, instance.incarnation, claim)}
        return with_instance(state._replace(claims=claims), name, claiming)
    if instance.phase == "free" or (
        instance.phase == "unknown" and rules.reruns_unknown
    ):
        return with_instance(
            state, name, joined._replace(phase="running", attempt="sent")
        )
    return report_outcome(state, {request}, instance.phase)


def resolve_claim(state, name, rules):
    """Act on the row that was read after a conflict or a lost answer."""
    instance = getattr(state, name)
    running = instance._replace(phase="running", attempt="sent")
    if state.row is None:
        if rules.trusts_lost_claims:
            return with_instance(state, name, running)
        return end_requests(state, name, "unsettled", "not_run")
    owner, incarnation, claim = state.row
    is_own = (owner, incarnation) == (name, instance.incarnation)
    if is_own and (claim == instance.claim or rules.trusts_own_rows):
        return with_instance(state, name, running)
    if state.recorded == "answered":
        return end_requests(state, name, "idle", "answered")
    if state.recorded == "not_run":
        return with_instance(
            state._replace(row=(name, instance.incarnation, instance.claim)),
            name,
            running,
        )
    if owner != name and getattr(state, owner).incarnation == incarnation:
        requests = instance.requests
        state = with_instance(
            state, name, instance._replace(phase="idle", requests=frozenset())
        )
        for request in sorted(requests):
            state = add_request(state, owner, request, rules)
        return state
    if rules.takes_over:
        return with_instance(
            state._replace(row=(name, instance.incarnation, instance.claim)),
            name,
            running,
        )
    return end_requests(state, name, "idle", "unknown")


def record_run(state, requests):
    return state._replace(runs=(*state.runs, tuple(sorted(requests))))


def instance_steps(state, name, rules):
    instance = getattr(state, name)
    label = f"{name}{instance.incarnation}"
    if instance.phase == "claiming":
        yield Step(
            f"{label} loses the claim's answer",
            with_instance(state, name, instance._replace(phase="reading")),
        )
        yield Step(
            f"{label} finds the store unavailable",
            end_requests(state, name, "unsettled", "not_run"),
        )
    if instance.phase == "reading":
        yield Step(f"{label} reads the row", resolve_claim(state, name, rules))
        yield Step(
            f"{label} cannot read the row",
            end_requests(state, name, "unsettled", "not_run"),
        )
    if instance.attempt == "sent":
        refused = end_requests(state, name, "free", "not_run")
        if rules.records_not_run:
            refused = refused._replace(recorded="not_run")
        yield Step(f"{label}'s attempt is refused", refused)
        yield Step(
            f"{label}'s attempt runs",
            with_instance(
                record_run(state, instance.requests),
                name,
                instance._replace(attempt="ran"),
            ),
        )
        outcome = "not_run" if rules.guesses_not_run else "unknown"
        delayed = (*state.delayed_runs, tuple(sorted(instance.requests)))
        lost = end_requests(state, name, "unknown", outcome)._replace(
            delayed_runs=delayed
        )
        yield Step(f"{label} loses the connection", lost)
    if instance.attempt == "ran":
        yield Step(
            f"{label} gets the answer",
            end_requests(state, name, "answered", "answered"),
        )
        yield Step(
            f"{label} loses the answer", end_requests(state, name, "unknown", "unknown")
        )
    if instance.phase == "answered":
        yield Step(f"{label} records", state._replace(recorded="answered"))
    if instance.phase in ("answered", "unsettled", "free"):
        forgotten = instance._replace(phase="idle")
        yield Step(f"{label} forgets the key", with_instance(state, name, forgotten))
    if state.restarts < RESTARTS:
        delayed = state.delayed_runs
        if instance.attempt == "sent":
            delayed = (*delayed, tuple(sorted(instance.requests)))
        fresh = state._replace(delayed_runs=delayed, restarts=state.restarts + 1)
        fresh = report_outcome(fresh, instance.requests, "broken")
        yield Step(
            f"{label} restarts",
            with_instance(fresh, name, Instance(instance.incarnation + 1)),
        )


def claim_steps(state, rules):
    for claim in sorted(state.claims):
        name, incarnation, number = claim
        rest = state._replace(claims=state.claims - {claim})
        written = rest if state.row else rest._replace(row=claim)
        yield Step(
            f"claim of {name}{incarnation} is written, its answer is lost", written
        )
        instance = getattr(state, name)
        is_awaited = (instance.incarnation, instance.claim) == (incarnation, number)
        if is_awaited and instance.phase == "claiming":
            yield Step(
                f"claim of {name}{incarnation} is answered",
                resolve_claim(written, name, rules),
            )
        yield Step(f"claim of {name}{incarnation} is lost", rest)


class Rules(NamedTuple):
    """Select wrong variants of the protocol; all False is the protocol itself."""

    trusts_lost_claims: bool = False
    trusts_own_rows: bool = False
    takes_over: bool = False
    reruns_unknown: bool = False
    guesses_not_run: bool = False
    records_not_run: bool = False


def steps_under(rules):
    def steps(state):
        if state.sent < REQUESTS:
            sent = state._replace(sent=state.sent + 1)
            for name in ("a", "b"):
                step = add_request(sent, name, state.sent, rules)
                yield Step(f"request {state.sent} reaches {name}", step)
        yield from claim_steps(state, rules)
        for name in ("a", "b"):
            yield from instance_steps(state, name, rules)
        for index, requests in enumerate(state.delayed_runs):
            rest = state.delayed_runs[:index] + state.delayed_runs[index + 1 :]
            late = record_run(state._replace(delayed_runs=rest), requests)
            yield Step("a lost attempt runs late", late)

    return steps


def invariant_violation(state):
    if len(state.runs) > 1:
        return "two runs"
    for requests in state.runs:
        for request in requests:
            if "not_run" in state.reported[request]:
                return "reported not run, but ran"
    answered = [outcomes for outcomes in state.reported if "answered" in outcomes]
    if answered and not state.runs:
        return "answered without a run"
    return None


TICKET = State(a=Instance(phase="free"), row=("a", 0, 0))
OWN_KEY = State()


@pytest.mark.parametrize("start", [OWN_KEY, TICKET], ids=["own key", "ticket"])
def test_key_runs_at_most_once_and_not_run_is_never_wrong(start):
    explored = explore(start, steps_under(Rules()), invariant_violation)
    assert explored.violation is None, explored.trace
    assert explored.states > 1_000


@pytest.mark.parametrize("rule", Rules._fields)
def test_wrong_variant_is_caught(rule):
    explored = explore(OWN_KEY, steps_under(Rules(**{rule: True})), invariant_violation)
    assert explored.violation in ("two runs", "reported not run, but ran")
    assert explored.trace
