"""After a storm of large configurations, hosts that lose those that read for them learn no more.

They read the same page of the operators' topic again and again, and keep the old configuration.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from world import LIMITS, Host, World, call, main, route  # noqa: E402

HOSTS = 4
FIRST_ROUTES = 8
MORE_ROUTES = 350
"""`count` of `big_config` in the site file; it comes twice."""
CHANGES = 12
GAP_S = 0.33
"""`for_s` = 4.0 and `gap_s` of `config_storm` in the site file."""
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
WATCHED_S = 16.0
KEY = "jnbanfqasnmgkcuyj8pj"


class Operator:
    """Publishes configurations: the route of the calls, and idle ones."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.more = 0

    async def publish(self, service: str) -> int:
        """Publish a configuration by which calls go to a service; return its size."""
        routes = [
            route("calls", "/c/", "idempotent", service, public=True),
            route("keyed", "/k/", "idempotent", service),
        ]
        for number in range(FIRST_ROUTES + self.more):
            prefix = f"/idle-{number}/"
            routes.append(route(f"idle-{number}", prefix, "idempotent", "old", public=True))
        services = [{"name": "old"}, {"name": "new"}]
        tenants = [{"name": "bozi300", "api_keys": [KEY]}]
        await self.world.publish(routes, services, limits=LIMITS, tenants=tenants)
        return len(json.dumps(routes))


class Reads:
    """When each host last read the operator's topic; each host has its own port of the store."""

    def __init__(self, world: World) -> None:
        self.times_by_port: dict[str, list[float]] = {}
        world.store.on_call = self.record

    def record(self, port: str, path: str, topic: str) -> None:
        """Record a call of the store."""
        if path == "/log-read" and topic == "keyed.op":
            self.times_by_port.setdefault(port, []).append(time.monotonic())

    def count(self, host: Host, seconds: float) -> int:
        """Return how often a host has read the topic lately."""
        since = time.monotonic() - seconds
        return sum(at > since for at in self.times_by_port.get(host.store, []))


async def run(folder: Path) -> int:
    """Run the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)
    say = world.record.say
    try:
        await world.store.start()
        reads, operator = Reads(world), Operator(world)
        old = await world.add_service("old-1", "old")
        new = await world.add_service("new-1", "new")
        await operator.publish("old")
        if not await world.start_hosts(HOSTS):
            return 2
        await asyncio.sleep(4.0)
        for _ in range(2):
            operator.more += MORE_ROUTES
            size = await operator.publish("old")
            await asyncio.sleep(1.0)
        say(f"the configuration has {size} bytes")
        for _ in range(CHANGES):
            await operator.publish("old")
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(0.7)
        readers = [host for host in world.hosts if reads.count(host, 2.5)]
        others = [host for host in world.hosts if host not in readers]
        say(f"reading the operator's topic: {[host.name for host in readers]}")
        if not readers or not others:
            return 2
        if trouble:
            for host in readers:
                host.end()
                say(f"{host.name} is lost for good")
        await asyncio.sleep(CONTACT_S)
        await operator.publish("new")
        began = time.monotonic()
        say(f"configuration {world.version}, by which calls go to the new service, is acknowledged")
        late = {host.name: 0 for host in others}
        refused = {host.name: 0 for host in others}
        sent = 0
        while time.monotonic() - began < WATCHED_S:
            for host in others:
                sent_s = time.monotonic() - began
                identity = f"call-{sent}-{host.name}"
                await call(world, host, identity, "/c/1", 2500)
                keyed = await call(world, host, f"keyed-{sent}-{host.name}", "/k/1", 2500, key=KEY)
                late[host.name] += identity in old.runs and sent_s > CONFIG_APPLY_S
                refused[host.name] += keyed.status == 503
            if sent % 4 == 0:
                counts = {host.name: reads.count(host, 1.0) for host in others}
                world.record.write(f"reads of the operator's topic in the last second: {counts}")
            sent += 1
            await asyncio.sleep(0.25)
        say(
            f"of {sent} calls to each host, sent to the old service more than {CONFIG_APPLY_S} s "
            f"after the ack: {late}; requests with a key that got 503: {refused}; "
            f"the new service ran {len(new.runs)}"
        )
        is_broken = any(late.values())
        say("the rule is broken" if is_broken else "the rule holds")
        return 1 if is_broken else 0
    finally:
        world.end()


main(run, __file__)
