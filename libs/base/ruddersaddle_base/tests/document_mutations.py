"""Mutations of documents for fuzzing: some values are replaced or removed."""

import copy
from random import Random
from typing import Any

NESTED: Any = []
for _ in range(500):
    NESTED = [NESTED]
REPLACEMENTS = (
    *(None, True, "", "x", "é" * 300, "10.0.0.1:99999", "-1", [], {}, [[]], {"a": 1}, NESTED),
    *(0, -1, 1.5, -0.0, 1e308, 2**31, 2**63 - 1, 2**63, 2**64, -(2**63) - 1, 10**30, -(10**30)),
)


def mutate_document(document: Any, random: Random) -> Any:
    """Return a copy of a document with one to three values replaced, removed or added."""
    result = copy.deepcopy(document)
    for _ in range(random.choice((1, 1, 2, 3))):
        node = result
        while True:
            keys = list(node) if isinstance(node, dict) else list(range(len(node)))
            if not keys:
                break
            key = random.choice(keys)
            child = node[key]
            if isinstance(child, dict | list) and child is not NESTED and random.random() < 0.8:
                node = child
                continue
            if random.random() < 0.2:
                del node[key]
            else:
                node[key] = random.choice(REPLACEMENTS)
            break
    return result
