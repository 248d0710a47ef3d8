"""Mutations of documents for fuzzing: some values are replaced or removed."""

import copy
from collections.abc import Iterator
from random import Random
from typing import Any

NESTED: Any = []
for _ in range(500):
    NESTED = [NESTED]
REPLACEMENTS = (
    *(None, True, "", "x", "é" * 300, "10.0.0.1:99999", "-1", [], {}, [[]], {"a": 1}, NESTED),
    *(0, -1, 1.5, -0.0, 1e308, 2**31, 2**63 - 1, 2**63, 2**64, -(2**63) - 1, 10**30, -(10**30)),
)


TOO_DEEP = "nested too deeply"
"""Stands for a value that is nested deeper than `json` can encode."""


def nest_documents(document: Any) -> Iterator[Any]:
    """Yield copies with `TOO_DEEP` in place of each value, and in one more field of each object."""
    yield TOO_DEEP
    match document:
        case dict():
            for key in (*document, "unknown"):
                for nested in nest_documents(document.get(key)):
                    yield {**document, key: nested}
        case list():
            for index, value in enumerate(document):
                for nested in nest_documents(value):
                    yield [*document[:index], nested, *document[index + 1 :]]


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
