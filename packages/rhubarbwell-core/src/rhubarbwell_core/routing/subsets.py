"""Select the backend servers of an entry instance and the slots assigned to it."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

__all__ = ["member_slots", "rendezvous_subset"]


def rendezvous_subset(
    instance_id: str, backend_ids: Iterable[str], *, size: int
) -> tuple[str, ...]:
    """Return up to size backend servers for an instance by rendezvous hashing.

    >>> rendezvous_subset("i", ["b0", "b1"], size=5)
    ('b0', 'b1')
    >>> len(rendezvous_subset("i", [f"b{n}" for n in range(40)], size=24))
    24
    """
    ids = tuple(backend_ids)
    if len(ids) <= size:
        return ids
    ranked = sorted(
        ids, key=lambda backend_id: _rendezvous_score(instance_id, backend_id)
    )
    return tuple(ranked[:size])


def member_slots(
    slots: Sequence[tuple[str, int]], *, member_index: int, member_count: int
) -> dict[str, int]:
    """Return one member's slots by backend server when all are shared evenly.

    >>> member_slots([("b0", 3), ("b1", 3)], member_index=0, member_count=4)
    {'b0': 1}
    >>> member_slots([("b0", 3), ("b1", 3)], member_index=3, member_count=4)
    {'b1': 2}
    """
    total = sum(count for _, count in slots)
    first = member_index * total // member_count
    last = (member_index + 1) * total // member_count
    assigned_slots: dict[str, int] = {}
    start = 0
    for backend_id, count in slots:
        held = min(start + count, last) - max(start, first)
        if held > 0:
            assigned_slots[backend_id] = held
        start += count
    return assigned_slots


def _rendezvous_score(instance_id: str, backend_id: str) -> bytes:
    return blake2b(f"{instance_id}/{backend_id}".encode(), digest_size=8).digest()
