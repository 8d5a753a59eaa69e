"""Copy sources of random numbers."""

from copy import deepcopy
from random import Random, SystemRandom

__all__ = ["copied_random"]


def copied_random(rng: Random) -> Random:
    """Return a source that draws the numbers that rng draws next.

    The operating system's source has no state that could be copied or changed: it is
    returned itself.

    >>> rng = Random(1)
    >>> copied_random(rng).random() == rng.random()
    True
    """
    return rng if isinstance(rng, SystemRandom) else deepcopy(rng)
