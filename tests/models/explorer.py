"""Breadth-first exploration of every reachable state of a specification."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)


class Step(NamedTuple, Generic[S]):
    """Hold the label of a transition and the state that it leads to."""

    label: str
    state: S


class Exploration(NamedTuple):
    """Hold the number of states, and the violated invariant with its trace."""

    states: int
    violation: str | None
    trace: tuple[str, ...]


def explore(
    initial: S,
    steps: Callable[[S], Iterable[Step[S]]],
    check: Callable[[S], str | None],
    *,
    max_states: int = 2_000_000,
) -> Exploration:
    """Explore all states up to the first for which check names a violation.

    Raises RuntimeError when more than max_states are reachable.
    """
    predecessors: dict[S, tuple[S, str] | None] = {initial: None}
    pending = deque([initial])
    while pending:
        state = pending.popleft()
        violation = check(state)
        if violation is not None:
            return Exploration(
                len(predecessors), violation, _trace(state, predecessors)
            )
        for label, successor in steps(state):
            if successor not in predecessors:
                predecessors[successor] = (state, label)
                pending.append(successor)
        if len(predecessors) > max_states:
            raise RuntimeError(f"more than {max_states} states are reachable")
    return Exploration(len(predecessors), None, ())


def _trace(state: S, predecessors: dict[S, tuple[S, str] | None]) -> tuple[str, ...]:
    labels: list[str] = []
    while (predecessor := predecessors[state]) is not None:
        state, label = predecessor
        labels.append(label)
    return tuple(reversed(labels))
