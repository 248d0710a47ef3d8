"""This host's view of each pool: upstreams, their load, and the queue for their slots."""

import logging
import time
from collections.abc import Iterable

import eventlet
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, UpstreamId, WorkspaceId
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import contain, spawn_forever
from ruddersaddle_routing.choices import Chooser
from ruddersaddle_routing.homes import assign_homes
from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.queues import FairQueue
from ruddersaddle_routing.retries import Circuit, RetryBudget
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Event, Pool, PoolKind, Upstream, Workspace
from ruddersaddle_upstreams.engines import EngineClient
from ruddersaddle_upstreams.host_lists import HostList

logger = logging.getLogger(__name__)

EVENT_WAIT_S = 5.0
"""Longest wait of one read of an engine's cache events."""
EVENT_RETRY_S = 0.5
IDLE_WAKE_S = 0.1
WAKE_S = 0.02
"""Interval between checks whether the backlog allows waiting requests to proceed."""
MISSING_SMOOTHING = 0.1
CONTROL_READ_S = 8.0
"""Longest gap in an engine's answer to a control request."""


class PoolView:
    """This host's view of one pool."""

    def __init__(self, pool: Pool, settings: Settings) -> None:
        self.pool = pool
        self.settings = settings
        self.backlog_max_s = settings.number("routing.backlog_s")
        self.load_by_address: dict[str, Load] = {}
        self.engine_by_address: dict[str, EngineClient] = {}
        self.budget = RetryBudget(settings.number("routing.retry_share"))
        speed = settings.number("contexts.prefill_tokens_s")
        self.chooser = Chooser.from_name(settings.text("routing.policy"), speed)
        self.homes_by_template: dict[str, tuple[UpstreamId, ...]] = {}
        self.unsent_tokens = 0.0
        self.missing_share = 1.0
        self.queue = FairQueue(self.capacity, self.is_open)

    def capacity(self) -> int:
        """Return the maximum number of calls in flight from this host to the pool."""
        usable = [load for load in self.loads() if load.may_accept_work]
        return sum(int(load.limit.limit) for load in usable)

    def is_open(self) -> bool:
        """Return whether the engines' estimated prefill backlog allows more work."""
        if self.pool.kind is PoolKind.SERVICE or self.backlog_max_s <= 0:
            return True
        usable = [load for load in self.loads() if load.may_accept_work]
        default = self.settings.number("contexts.prefill_tokens_s")
        speed = sum(load.prefill_tokens_s(default) for load in usable)
        hosts = self.chooser.hosts
        waiting = sum(load.waiting_tokens(hosts) for load in usable)
        return waiting + self.unsent_tokens < self.backlog_max_s * speed

    def record_granted(self, tokens: int) -> float:
        """Add a request that has a slot but is not sent yet; return the expected missing tokens."""
        expected_tokens = tokens * self.missing_share
        self.unsent_tokens += expected_tokens
        return expected_tokens

    def record_sent(self, expected_tokens: float, missing: int, tokens: int) -> None:
        """Remove a request that is being sent, and update the estimated share of missing tokens."""
        self.unsent_tokens = max(0.0, self.unsent_tokens - expected_tokens)
        share = missing / max(1, tokens)
        self.missing_share += MISSING_SMOOTHING * (share - self.missing_share)

    def loads(self) -> Iterable[Load]:
        """Return the loads of all upstreams."""
        return self.load_by_address.values()

    def update(self, pool: Pool, hosts: HostList) -> None:
        """Apply a new configuration and host list; start and end the tasks of upstreams."""
        self.pool = pool
        wanted = {upstream.address: upstream for upstream in pool.upstreams}
        for address in set(self.load_by_address) - set(wanted):
            del self.load_by_address[address]
            self.engine_by_address.pop(address, None)
        for address in set(wanted) - set(self.load_by_address):
            self._add_upstream(wanted[address])
        for load in self.loads():
            load.leaving = hosts.is_leaving(load.address)
        self.chooser.hosts = max(1, len(hosts.entries()))

    def assign_event_homes(self, events: list[Event]) -> None:
        """Assign the templates of published events to their home engines."""
        events_of_pool = [event for event in events if event.model == self.pool.model]
        copies = {event.template: event.copies for event in events_of_pool}
        upstreams = [load.upstream for load in self.loads() if not load.leaving]
        self.homes_by_template = assign_homes(copies, upstreams)

    def _add_upstream(self, upstream: Upstream) -> None:
        settings = self.settings
        start = settings.integer("routing.limit_start")
        limit = AdaptiveLimit(start, settings.integer("routing.limit_max"))
        failures = settings.integer("routing.failures_open")
        circuit = Circuit(failures, settings.number("routing.open_s"))
        load = Load(upstream.id, upstream.address, upstream.hall, limit, circuit)
        self.load_by_address[upstream.address] = load
        if self.pool.kind is PoolKind.ENGINE:
            self._start_polling(load)

    def _start_polling(self, load: Load) -> None:
        connect_s = self.settings.number("routing.connect_s")
        control = EngineClient(load.address, connect_s, CONTROL_READ_S)
        read_s = self.settings.number("routing.read_s")
        self.engine_by_address[load.address] = EngineClient(load.address, connect_s, read_s)
        spawn_forever(f"load of {load.upstream}", self._follow_load, load, control)
        spawn_forever(f"cache of {load.upstream}", self._follow_cache, load, control)

    def _is_member(self, load: Load) -> bool:
        return self.load_by_address.get(load.address) is load

    def _follow_load(self, load: Load, client: EngineClient) -> None:
        while self._is_member(load):
            report = client.load()
            if not isinstance(report, Failure):
                load.apply_report(report)
            eventlet.sleep(self.settings.number("routing.load_poll_s"))

    def _follow_cache(self, load: Load, client: EngineClient) -> None:
        epoch = ""
        expected = 0
        while self._is_member(load):
            page = client.events(expected, EVENT_WAIT_S) if epoch else None
            if page is None or isinstance(page, Failure) or page.epoch != epoch:
                epoch, expected = self._resync(load, client)
                continue
            for event in page.events:
                if event.sequence != expected:
                    logger.info(
                        "Cache events of %s have a gap; reading the complete listing.",
                        load.upstream,
                    )
                    epoch, expected = self._resync(load, client)
                    break
                load.apply_event(event.stored, event.key)
                expected += 1

    def _resync(self, load: Load, client: EngineClient) -> tuple[str, int]:
        listing = client.listing()
        load.clear_cache()
        if isinstance(listing, Failure):
            eventlet.sleep(EVENT_RETRY_S)
            return "", 0
        load.cached.update(listing.keys)
        return listing.epoch, listing.next

    def acquire_slot(
        self, workspace: Workspace, cost: float, remaining_s: float, urgency: float = 1.0
    ) -> "Slot | Failure":
        """Wait for a slot in the fair queue; refuse at once if none is expected in time."""
        waiting = self.queue.waiting_by_workspace.get(workspace.id, 0)
        predicted_s = self.queue.predict_wait_s(workspace.id)
        if waiting >= workspace.concurrent_max:
            detail = f"{waiting} requests of the workspace are waiting already"
            return self._refuse(Code.OVERLOADED, detail, predicted_s)
        if predicted_s >= remaining_s:
            detail = (
                f"a slot is expected in {predicted_s:.1f} s, the deadline is in {remaining_s:.1f} s"
            )
            return self._refuse(Code.OVERLOADED, detail, predicted_s)
        if not self.queue.acquire(workspace.id, workspace.weight * urgency, cost, remaining_s):
            return self._refuse(
                Code.DEADLINE, "no slot became free before the deadline", predicted_s
            )
        return Slot(self.queue, workspace.id)

    def _refuse(self, code: Code, detail: str, retry_after_s: float) -> Failure:
        after_s = max(1.0, retry_after_s)
        return Failure(code, Step.QUEUE, self.pool.id, detail, retry_after_s=after_s)


class Slot:
    """A slot of a pool, held by one request until it is released."""

    def __init__(self, queue: FairQueue, workspace: WorkspaceId) -> None:
        self.queue = queue
        self.workspace = workspace
        self.since = time.monotonic()
        self.released = False

    def release(self) -> None:
        """Release the slot; further calls have no effect."""
        if not self.released:
            self.released = True
            self.queue.release(self.workspace, time.monotonic() - self.since)


class Pools:
    """All pools according to the configuration and the host list."""

    def __init__(self, settings: Settings, hosts: HostList) -> None:
        self.settings = settings
        self.hosts = hosts
        self.by_id: dict[PoolId, PoolView] = {}

    def update(self, configuration: Configuration) -> None:
        """Apply the newest configuration and host list."""
        wanted = {pool.id: pool for pool in configuration.values(Pool)}
        for removed in set(self.by_id) - set(wanted):
            self.by_id.pop(removed).load_by_address.clear()
        for pool in wanted.values():
            with contain(f"update of {pool.id}"):
                self._update_pool(pool, configuration)

    def _update_pool(self, pool: Pool, configuration: Configuration) -> None:
        if pool.id not in self.by_id:
            self.by_id[pool.id] = PoolView(pool, self.settings)
            spawn_forever(f"queue of {pool.id}", self._run_wakeups, self.by_id[pool.id])
        self.by_id[pool.id].update(pool, self.hosts)
        self.by_id[pool.id].assign_event_homes(configuration.values(Event))

    def _run_wakeups(self, view: PoolView) -> None:
        """Wake waiting requests as loads, circuits and limits change."""
        while self.by_id.get(view.pool.id) is view:
            view.queue.wake()
            eventlet.sleep(WAKE_S if view.queue.waiting else IDLE_WAKE_S)

    def for_model(self, model: str) -> PoolView | None:
        """Return the pool of engines that serves a model, or None."""
        for view in self.by_id.values():
            if view.pool.kind is PoolKind.ENGINE and view.pool.model == model:
                return view
        return None

    def for_path(self, path: str) -> PoolView | None:
        """Return the pool of plain services that has a rule for a path, or None."""
        for view in self.by_id.values():
            is_service = view.pool.kind is PoolKind.SERVICE
            if is_service and view.pool.is_repeatable(path) is not None:
                return view
        return None
