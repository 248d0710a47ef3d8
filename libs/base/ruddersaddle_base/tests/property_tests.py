"""Hypothesis settings for property tests: the same inputs in each run, without time limits."""

from hypothesis import HealthCheck, settings

DETERMINISTIC = settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
"""The health check on the speed of input generation is off: on a busy machine (1 valid input after
2.1 s) it failed tests whose property held."""
