"""Callers' connections: heads are checked by the grammar that platform hosts use."""

import eventlet.wsgi
from eventlet.greenio import GreenSocket
from ruddersaddle_base.settings import Settings
from ruddersaddle_serving.caller_budgets import CallerBudget
from ruddersaddle_serving.caller_listeners import ResilientListener
from ruddersaddle_serving.caller_pools import CallerPool
from ruddersaddle_serving.caller_protocols import CallerProtocol
from ruddersaddle_serving.limited_applications import LimitedApplication
from ruddersaddle_serving.routes import CallerLimits


def limits_from(settings: Settings) -> CallerLimits:
    """Return the settings' limits on callers."""
    timeout_s = settings.number("requests.read_timeout_s")
    return CallerLimits(header_timeout_s=timeout_s, idle_timeout_s=timeout_s)


def serve(listener: GreenSocket, application: LimitedApplication, budget: CallerBudget) -> None:
    """Serve callers until the task is killed."""
    pool = CallerPool(budget)
    eventlet.wsgi.server(
        ResilientListener(listener, pool),
        application,
        protocol=CallerProtocol,
        log_output=False,
        minimum_chunk_size=1,
        socket_timeout=application.limits.idle_timeout_s,
        custom_pool=pool,
        debug=False,
    )
