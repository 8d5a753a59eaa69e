"""Explore every reachable state of a small specification, breadth first."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)


class Step(NamedTuple, Generic[S]):
    """Label a transition and give the state that it leads to."""

    label: str
    state: S


class Exploration(NamedTuple):
    """Report the number of states and the trace to a violated invariant."""

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
    """Visit all states; stop at the first for which check names a violation.

    Raises RuntimeError when more than max_states are reachable.
    """
    came_from: dict[S, tuple[S, str] | None] = {initial: None}
    pending = deque([initial])
    while pending:
        state = pending.popleft()
        violation = check(state)
        if violation is not None:
            return Exploration(len(came_from), violation, _trace(state, came_from))
        for label, successor in steps(state):
            if successor not in came_from:
                came_from[successor] = (state, label)
                pending.append(successor)
        if len(came_from) > max_states:
            raise RuntimeError(f"more than {max_states} states are reachable")
    return Exploration(len(came_from), None, ())


def _trace(state: S, came_from: dict[S, tuple[S, str] | None]) -> tuple[str, ...]:
    labels: list[str] = []
    while (origin := came_from[state]) is not None:
        state, label = origin
        labels.append(label)
    return tuple(reversed(labels))
