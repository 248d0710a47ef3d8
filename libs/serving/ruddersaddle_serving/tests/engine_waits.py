"""The predicted wait at an engine, in the terms of the tests."""

from ruddersaddle_serving.admissions import Capacity, predict_wait_s
from ruddersaddle_serving.engine_loads import EngineLoad


def wait_s(
    load: EngineLoad, priority: int, tokens: int, capacity_tokens: int, slots: int = 0
) -> float:
    """Return how long a request waits that needs `tokens`; 0 slots where they are not known."""
    return predict_wait_s(load.backlog(priority), Capacity(slots, capacity_tokens), tokens)
