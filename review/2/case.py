"""Parts of replaced weights are freed while a runner that is back with these weights fetches them.

A host decides which parts no runner can fetch any more, and then frees them at one store after the
other. The first store falls silent, so that the host waits for it; meanwhile a runner comes back
that has the replaced weights.
"""

import itertools
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from cases import Deployment, make_route, run_case  # noqa: E402
from clients import Channel, make_head  # noqa: E402
from engines import MODEL, Engine, PartStore  # noqa: E402
from hosts import CannotRunError  # noqa: E402
from records import Record  # noqa: E402

KEY = "key-of-clinic"
PARTS = [f"{number:08x}" for number in range(0xA0, 0xD0)]
PART_TOKENS = 20_000
FETCH_S = 0.09
"""Time of a move of 20,000 tokens of 35,136 bytes over 130 Gbit/s between zones."""
SLOW_FETCH_S = 8 * FETCH_S
"""The same while links between runners are slow."""
DOWN_S = 4.5
"""How long one store is silent before it returns empty."""
BACK_S = 1.15
"""From the store's silence until the runner is back."""
ABSENT_S = 3.8
"""From the crash until the entry goes: three heartbeats of silence."""
NAMED_S = 1.5
"""From the crash until new weights are named."""
ROUNDS = 5
SETTLE_S = 5.0
SEND_S = 0.04
WARM_UP_S = 0.08
"""Slow enough for both runners to read all prompts."""


class Clinic:
    """The deployment of the case."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.numbers = itertools.count(1)
        self.stores = [
            PartStore(f"kept-{each}", deployment.next_ip(), record) for each in ("a", "b")
        ]
        self.engines = [
            Engine(f"i-{each}", deployment.next_ip(), deployment.store, self.stores, record)
            for each in ("first", "second")
        ]

    def publish(self) -> None:
        """Publish the configuration."""
        engine = {
            "slots": 64,
            "kv_capacity": 10_000_000,
            "kv_token_bytes": 35136,
            "link_mbps": 1_100_000.0,
            "managed": True,
            "max_inflight": 12,
            "models": [{"name": MODEL}],
        }
        services = [{"name": "writer", "health_check": "/health", "engine": engine}]
        services += [
            {
                "name": each.name,
                "kv_store_addr": each.address,
                "zone": "zone-b",
                "kv_capacity": 10_000_000,
                "link_mbps": 130_000.0,
                "max_inflight": 12,
                "managed": True,
                "first_ms": 6.0,
            }
            for each in self.stores
        ]
        route = make_route(
            "draft", "streaming", "writer", sticky=True, timeout_ms=15000, target_latency_ms=600
        )
        tenants = [{"name": "clinic", "api_keys": [KEY], "dedicated": False}]
        self.deployment.publish([route], tenants, services)

    def name_weights(self, version: int) -> None:
        """Name new weights."""
        self.record.line("operator", f"names weights {version}")
        self.deployment.store.put(
            "keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version}
        )

    def call(self, host_number: int, part: str) -> None:
        """Send one prompt with a shared part, and read its answer."""
        host = self.deployment.hosts[host_number % len(self.deployment.hosts)]
        number = next(self.numbers)
        request = f"r-{number}"
        prompt = {
            "Model": MODEL,
            "Token_Usage": f"{PART_TOKENS + 10},3",
            "Prompt_Prefix": f"{part}:{PART_TOKENS},{number:08x}:10",
            "Deadline_Ms": "8000",
        }
        channel = Channel((host.ip, host.front), self.record)
        self.record.line("client", f"sends {request} to {host.name}: {prompt['Prompt_Prefix']}")
        channel.send(make_head("POST", "/draft/x", request, KEY, **prompt))
        answer = channel.read()
        signature = answer.headers.get("response-signature", "none")
        self.record.line("client", f"gets for {request}: {answer.status}, signature {signature}")
        channel.close()

    def call_for(self, seconds: float, pause_s: float) -> None:
        """Send prompts with all parts in turn for some time."""
        until = time.monotonic() + seconds
        for number, part in enumerate(itertools.cycle(PARTS)):
            if time.monotonic() > until:
                return
            threading.Thread(target=self.call, args=(number, part), daemon=True).start()
            time.sleep(pause_s)

    def await_condition(self, condition, what: str, timeout_s: float = 20.0) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"timed out: {what}")
            time.sleep(0.02)


def play(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Play rounds until one shows a violation."""
    clinic = Clinic(deployment, record)
    for engine in clinic.engines:
        engine.start()
    clinic.publish()
    clinic.name_weights(1)
    deployment.start_hosts(["zone-a", "zone-b"])
    # Nothing is saved to an empty store at first.
    time.sleep(SETTLE_S)
    for number in range(ROUNDS):
        play_round(clinic, number + 1, has_trouble)
        if find_violations(clinic):
            break
    return find_violations(clinic)


def play_round(clinic: Clinic, version: int, has_trouble: bool) -> None:
    """Name new weights while one runner is away, and let it return as parts are being freed."""
    first, second = clinic.engines
    for engine in clinic.engines:
        engine.fetch_s = FETCH_S
    clinic.call_for(len(PARTS) * WARM_UP_S, WARM_UP_S)
    freeing = threading.Event()

    def crash_first(store: PartStore) -> None:
        if has_trouble and not freeing.is_set():
            store.crash_dark(DOWN_S)
        freeing.set()

    for store in clinic.stores:
        store.on_free = crash_first
    if has_trouble:
        first.crash()
        time.sleep(NAMED_S)
    clinic.name_weights(version + 1)
    if has_trouble:
        time.sleep(ABSENT_S - NAMED_S)
        clinic.deployment.store.put("keyed.servers", first.name, None)
    if not freeing.wait(12):
        raise CannotRunError("nothing was freed")
    sending = threading.Thread(target=clinic.call_for, args=(BACK_S + 2.0, SEND_S))
    sending.start()
    if has_trouble:
        for engine in clinic.engines:
            engine.fetch_s = SLOW_FETCH_S
        time.sleep(BACK_S)
        first.start()
    sending.join()
    # The silent store is back before the next round.
    time.sleep(DOWN_S - BACK_S - 2.0)
    clinic.await_condition(
        lambda: all(each.version == version + 1 for each in clinic.engines), "all weights"
    )


def find_violations(clinic: Clinic) -> list[str]:
    """Return the fetches that were used although their part was freed before they ended."""
    return [
        f"MIXED: {fetch.request} at {engine.name} used {fetch.part} of {fetch.store.name}, "
        "which was freed before the fetch had ended"
        for engine in clinic.engines
        for fetch in engine.fetches
        if fetch.is_used and fetch.was_freed_meanwhile
    ]


if __name__ == "__main__":
    run_case(FOLDER, play)
