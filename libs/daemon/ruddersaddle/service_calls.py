"""Calls of plain services: choice of the upstream, and retries."""

import itertools

from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.settings import Settings
from ruddersaddle_routing.loads import Load
from ruddersaddle_upstreams.connections import Reply
from ruddersaddle_upstreams.services import ServiceClient

from ruddersaddle.answers import Answer
from ruddersaddle.messages import ServiceCall
from ruddersaddle.pools import Pools, PoolView

SERVER_ERROR = 500


class ServiceCaller:
    """Forwards calls to the upstreams of service pools."""

    def __init__(self, settings: Settings, pools: Pools) -> None:
        self.connect_s = settings.number("routing.connect_s")
        self.pools = pools
        self._turn = itertools.count()

    def dispatch_once(self, call: ServiceCall) -> Answer:
        """Run a non-repeatable call.

        It is retried on another upstream only if no connection was made: once a byte has been sent,
        the outcome is the upstream's answer or `unknown`.
        """
        return self._dispatch(call, repeatable=False)

    def dispatch(self, call: ServiceCall) -> Answer:
        """Run a repeatable call, with retries within the pool's retry budget.

        Its failure says "not run" only if no attempt may have run.
        """
        return self._dispatch(call, repeatable=True)

    def _dispatch(self, call: ServiceCall, repeatable: bool) -> Answer:
        view = self.pools.by_id.get(call.pool)
        if view is None:
            return _no_open_upstream(call.pool)
        view.budget.record_first()
        answer: Answer = _no_open_upstream(call.pool)
        attempted: set[str] = set()
        may_have_run = False
        while True:
            load = self._select_load(view, attempted)
            if load is None:
                return answer
            if attempted and not view.budget.try_spend():
                return answer
            attempted.add(load.address)
            answer = self._call(load, call)
            may_have_run = may_have_run or _may_have_run(answer)
            if may_have_run and isinstance(answer, Failure):
                answer = answer.with_ran(Ran.UNKNOWN)
            if not _may_retry(answer, repeatable):
                return answer

    def _select_load(self, view: PoolView, attempted: set[str]) -> Load | None:
        candidates = [
            load for load in view.loads() if load.address not in attempted and load.is_open
        ]
        if not candidates:
            return None
        start = next(self._turn) % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return min(rotated, key=lambda load: load.limit.in_flight)

    def _call(self, load: Load, call: ServiceCall) -> Answer:
        load.limit.begin()
        load.circuit.begin()
        client = ServiceClient(load.address, self.connect_s, call.seconds)
        answer = client.call(call.method, call.path, dict(call.headers), call.body)
        failed = isinstance(answer, Failure)
        load.limit.end(overloaded=False)
        load.circuit.end(failed)
        return answer


def _may_have_run(answer: Answer) -> bool:
    return isinstance(answer, Reply) or answer.ran is not Ran.NOT_RUN


def _may_retry(answer: Answer, repeatable: bool) -> bool:
    if isinstance(answer, Reply):
        return repeatable and answer.status > SERVER_ERROR
    return repeatable or answer.ran is Ran.NOT_RUN


def _no_open_upstream(pool: str) -> Failure:
    detail = "no upstream is open"
    return Failure(Code.NO_UPSTREAM, Step.CONNECT, pool, detail, retry_after_s=1.0)
