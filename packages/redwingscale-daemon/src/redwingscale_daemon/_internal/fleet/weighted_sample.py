"""A random sample without replacement in which some are more likely than others."""

import heapq
import random
from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")


def weighted_sample(
    items: Sequence[Item], weights: Sequence[float], count: int, source: random.Random
) -> list[Item]:
    """Return ``count`` of ``items``; each draw picks in proportion to the ``weights``.

    The largest values of a uniform number to the power of 1 / weight have that
    distribution (Efraimidis and Spirakis, 2006).
    """
    keys = [source.random() ** (1.0 / weight) for weight in weights]
    chosen = heapq.nlargest(count, range(len(items)), key=keys.__getitem__)
    return [items[index] for index in chosen]
