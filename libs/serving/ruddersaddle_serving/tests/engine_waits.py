"""Predicted wait at an engine, for tests."""

from ruddersaddle_serving.admissions import Capacity, predict_wait_s
from ruddersaddle_serving.engine_loads import EngineLoad


def wait_s(
    load: EngineLoad, priority: int, tokens: int, capacity_tokens: int, slots: int = 0
) -> float:
    """Return how long a request that needs `tokens` waits; 0 slots means unknown."""
    return predict_wait_s(load.backlog(priority), Capacity(slots, capacity_tokens), tokens)
