"""Prefetching for published events: engines get the template's context before callers arrive."""

import logging
import string
import time

import eventlet
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HostId, WorkspaceId, new_request_id
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import contain, spawn_forever
from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.rendezvous import rank_names
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Event, Template
from ruddersaddle_upstreams.chains import block_keys, context_salt
from ruddersaddle_upstreams.engines import EngineRequest
from ruddersaddle_upstreams.host_lists import HostList

from ruddersaddle.contexts import ContextCache
from ruddersaddle.pools import Pools, PoolView

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Interval between checks for events that are due."""
BACKGROUND_PRIORITY = 999


class Prefetcher:
    """Prepares published events.

    The first host by rendezvous hash over the live hosts prepares an event. If two hosts disagree
    about the live hosts, both prepare it, which is harmless.
    """

    def __init__(
        self,
        settings: Settings,
        configuration: Configuration,
        hosts: HostList,
        pools: Pools,
        contexts: ContextCache,
    ) -> None:
        self.host = HostId(settings.text("host.id"))
        self.lead_s = settings.number("contexts.prefetch_s")
        self.configuration = configuration
        self.hosts = hosts
        self.pools = pools
        self.contexts = contexts
        self.prepared = 0
        self._started: set[tuple[str, float, str]] = set()

    def start(self) -> None:
        """Start the task."""
        spawn_forever("prefetches", self._run)

    def _run(self) -> None:
        while True:
            for event in self.configuration.values(Event):
                with contain(f"event {event.id}"):
                    if self._is_due(event) and self._is_assigned_here(event):
                        self._prepare(event)
            eventlet.sleep(CHECK_INTERVAL_S)

    def _is_due(self, event: Event) -> bool:
        return event.at - self.lead_s <= time.time() < event.at

    def _is_assigned_here(self, event: Event) -> bool:
        live = [row.id for row in self.hosts.entries() if not self.hosts.is_leaving(row.address)]
        return bool(live) and rank_names(event.id, live)[0] == self.host

    def _prepare(self, event: Event) -> None:
        template = self.configuration.get(Template, event.template)
        view = self.pools.for_model(event.model)
        if not isinstance(template, Template) or view is None:
            return
        text = shared_prefix(template, event)
        for load in self._target_engines(event, view):
            target = (event.id, event.at, load.address)
            if target not in self._started:
                self._started.add(target)
                eventlet.spawn(self._preload, event, template.workspace, text, view, load)

    def _target_engines(self, event: Event, view: PoolView) -> list[Load]:
        """Return the home engines of the event's template that accept work."""
        homes = view.homes_by_template.get(event.template, ())
        loads = [load for load in view.loads() if load.upstream in homes]
        return [load for load in loads if load.may_accept_work and load.version]

    def _preload(
        self, event: Event, workspace: WorkspaceId, text: str, view: PoolView, load: Load
    ) -> None:
        """Load the template's context into one engine: fetched if stored, otherwise computed."""
        salt = context_salt(workspace, event.model, load.version)
        keys = block_keys(salt, text)
        engine = view.engine_by_address[load.address]
        found = self.contexts.find(keys)
        if found.store is not None and found.chain.blocks:
            self.contexts.fetch(found, engine, keys[: found.chain.blocks], 0)
        request = EngineRequest(
            id=new_request_id(),
            model=event.model,
            version=load.version,
            adapter="",
            salt=salt,
            prompt=text,
            max_tokens=1,
            priority=BACKGROUND_PRIORITY,
            chat=False,
        )
        stream = engine.generate(request)
        if isinstance(stream, Failure):
            logger.warning("Event %s was not prepared. %s", event.id, stream.detail)
            return
        while stream.read_some():
            if stream.done:
                break
        stream.finish()
        self.prepared += 1
        logger.info("Event %s is prepared on engine %s.", event.id, load.upstream)
        self.contexts.save(engine, request.id)


def shared_prefix(template: Template, event: Event) -> str:
    """Return the template's text up to the first parameter without a value in the event."""
    text = string.Template(template.text).safe_substitute(event.arguments)
    missing_names = [name for name in template.parameters if name not in event.arguments]
    ends = [text.find(mark) for name in missing_names for mark in (f"${name}", f"${{{name}}}")]
    found = [end for end in ends if end >= 0]
    return text[: min(found)] if found else text
