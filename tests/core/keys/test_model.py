"""Model check of a key's one run: two instances, restarts, a store that loses answers.

Claims may land late, their answers may be lost, instances restart and forget, an
attempt may reach the backend server after its connection was lost, and the
caller repeats its request at either instance.
"""

from typing import NamedTuple

import pytest
from models.explorer import Step, explore

REQUESTS = 3
RESTARTS = 1


class Instance(NamedTuple):
    """One incarnation: its claim, its phase, who waits and the attempt."""

    inc: int = 0
    claim: int = 0
    phase: str = "idle"
    members: frozenset = frozenset()
    attempt: str = "none"


class World(NamedTuple):
    a: Instance = Instance()
    b: Instance = Instance()
    row: tuple | None = None
    recorded: str = ""
    claims: frozenset = frozenset()
    stray_runs: tuple = ()
    runs: tuple = ()
    told: tuple = ((),) * REQUESTS
    sent: int = 0
    restarts: int = 0


def told(world, members, word):
    """Tell all members of a run the same; a request that has been told stays so."""
    rows = tuple(
        (*words, word) if request in members else words
        for request, words in enumerate(world.told)
    )
    return world._replace(told=rows)


def put(world, name, inst):
    return world._replace(**{name: inst})


def finish(world, name, phase, word):
    inst = getattr(world, name)
    world = told(world, inst.members, word)
    done = inst._replace(phase=phase, members=frozenset(), attempt="none")
    return put(world, name, done)


def arrive(world, name, request, rules, passed=False):
    inst = getattr(world, name)
    joined = inst._replace(members=inst.members | {request})
    if inst.phase in ("claiming", "reading", "running"):
        return put(world, name, joined)
    if inst.phase in ("idle", "unsettled"):
        claim = inst.claim + 1 if inst.phase == "idle" else inst.claim
        claiming = joined._replace(phase="claiming", claim=claim)
        claims = world.claims | {(name, inst.inc, claim)}
        return put(world._replace(claims=claims), name, claiming)
    if inst.phase == "free" or (inst.phase == "unknown" and rules.reruns_unknown):
        return put(world, name, joined._replace(phase="running", attempt="sent"))
    return told(world, {request}, inst.phase)


def settle(world, name, rules):
    """Follow the row that the instance has read after a conflict or a lost answer."""
    inst = getattr(world, name)
    running = inst._replace(phase="running", attempt="sent")
    if world.row is None:
        if rules.trusts_lost_claims:
            return put(world, name, running)
        return finish(world, name, "unsettled", "not_run")
    owner, inc, claim = world.row
    is_own = (owner, inc) == (name, inst.inc)
    if is_own and (claim == inst.claim or rules.trusts_own_rows):
        return put(world, name, running)
    if world.recorded == "answered":
        return finish(world, name, "idle", "answered")
    if world.recorded == "not_run":
        return put(world._replace(row=(name, inst.inc, inst.claim)), name, running)
    if owner != name and getattr(world, owner).inc == inc:
        members = inst.members
        world = put(world, name, inst._replace(phase="idle", members=frozenset()))
        for request in sorted(members):
            world = arrive(world, owner, request, rules)
        return world
    if rules.takes_over:
        return put(world._replace(row=(name, inst.inc, inst.claim)), name, running)
    return finish(world, name, "idle", "unknown")


def run(world, members):
    return world._replace(runs=(*world.runs, tuple(sorted(members))))


def instance_steps(world, name, rules):
    inst = getattr(world, name)
    label = f"{name}{inst.inc}"
    if inst.phase == "claiming":
        yield Step(
            f"{label} loses the claim's answer",
            put(world, name, inst._replace(phase="reading")),
        )
        yield Step(
            f"{label} finds the store out", finish(world, name, "unsettled", "not_run")
        )
    if inst.phase == "reading":
        yield Step(f"{label} reads the row", settle(world, name, rules))
        yield Step(
            f"{label} cannot read the row", finish(world, name, "unsettled", "not_run")
        )
    if inst.attempt == "sent":
        refused = finish(world, name, "free", "not_run")
        if rules.records_not_run:
            refused = refused._replace(recorded="not_run")
        yield Step(f"{label}'s attempt is refused", refused)
        yield Step(
            f"{label}'s attempt runs",
            put(run(world, inst.members), name, inst._replace(attempt="ran")),
        )
        word = "not_run" if rules.guesses_not_run else "unknown"
        stray = (*world.stray_runs, tuple(sorted(inst.members)))
        lost = finish(world, name, "unknown", word)._replace(stray_runs=stray)
        yield Step(f"{label} loses the connection", lost)
    if inst.attempt == "ran":
        yield Step(
            f"{label} gets the answer", finish(world, name, "answered", "answered")
        )
        yield Step(
            f"{label} loses the answer", finish(world, name, "unknown", "unknown")
        )
    if inst.phase == "answered":
        yield Step(f"{label} records", world._replace(recorded="answered"))
    if inst.phase in ("answered", "unsettled", "free"):
        forgotten = inst._replace(phase="idle")
        yield Step(f"{label} forgets the key", put(world, name, forgotten))
    if world.restarts < RESTARTS:
        stray = world.stray_runs
        if inst.attempt == "sent":
            stray = (*stray, tuple(sorted(inst.members)))
        fresh = world._replace(stray_runs=stray, restarts=world.restarts + 1)
        fresh = told(fresh, inst.members, "broken")
        yield Step(f"{label} restarts", put(fresh, name, Instance(inst.inc + 1)))


def claim_steps(world, rules):
    for claim in sorted(world.claims):
        name, inc, number = claim
        rest = world._replace(claims=world.claims - {claim})
        landed = rest if world.row else rest._replace(row=claim)
        yield Step(f"claim of {name}{inc} lands, its answer is lost", landed)
        inst = getattr(world, name)
        is_awaited = (inst.inc, inst.claim) == (inc, number)
        if is_awaited and inst.phase == "claiming":
            yield Step(f"claim of {name}{inc} is answered", settle(landed, name, rules))
        yield Step(f"claim of {name}{inc} is lost", rest)


class Rules(NamedTuple):
    """Wrong variants of the protocol; all false is the protocol itself."""

    trusts_lost_claims: bool = False
    trusts_own_rows: bool = False
    takes_over: bool = False
    reruns_unknown: bool = False
    guesses_not_run: bool = False
    records_not_run: bool = False


def steps_under(rules):
    def steps(world):
        if world.sent < REQUESTS:
            sent = world._replace(sent=world.sent + 1)
            for name in ("a", "b"):
                step = arrive(sent, name, world.sent, rules)
                yield Step(f"request {world.sent} reaches {name}", step)
        yield from claim_steps(world, rules)
        for name in ("a", "b"):
            yield from instance_steps(world, name, rules)
        for index, members in enumerate(world.stray_runs):
            rest = world.stray_runs[:index] + world.stray_runs[index + 1 :]
            late = run(world._replace(stray_runs=rest), members)
            yield Step("a lost attempt runs late", late)

    return steps


def violated(world):
    if len(world.runs) > 1:
        return "two runs"
    for members in world.runs:
        for request in members:
            if "not_run" in world.told[request]:
                return "told not run, but run"
    answered = [words for words in world.told if "answered" in words]
    if answered and not world.runs:
        return "answered without a run"
    return None


TICKET = World(a=Instance(phase="free"), row=("a", 0, 0))
OWN_KEY = World()


@pytest.mark.parametrize("start", [OWN_KEY, TICKET], ids=["own key", "ticket"])
def test_key_runs_at_most_once_and_not_run_is_true(start):
    explored = explore(start, steps_under(Rules()), violated)
    assert explored.violation is None, explored.trace
    assert explored.states > 1_000


@pytest.mark.parametrize("rule", Rules._fields)
def test_wrong_variant_is_caught(rule):
    explored = explore(OWN_KEY, steps_under(Rules(**{rule: True})), violated)
    assert explored.violation in ("two runs", "told not run, but run")
    assert explored.trace
