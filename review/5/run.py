"""After an outage of the store, hosts send to a runner again that they knew to be gone."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from world import LIMITS, Host, Service, World, call, main, route  # noqa: E402

HOSTS = 6
RUNNERS = 3
DRAIN_S = 2.0
"""`drain_ms`."""
OUTAGE_S = 4.5
"""`for_s` of `platform_down` in the site file."""
SERVES_ON_S = 9.5
"""How long the runner that has left serves on: `drain_ms`, and many seconds."""
BEFORE_OUTAGE_S = 3.0
CALLS_PAUSE_S = 0.02


class Calls:
    """Requests to each host, one after the other, and which of them the leaving runner ran."""

    def __init__(self, world: World, left: Service, left_at: float) -> None:
        self.world = world
        self.left = left
        self.left_at = left_at
        self.ran_at_by_host: dict[str, list[float]] = {host.name: [] for host in world.hosts}
        """When requests were sent that the runner ran, counted from the ack of its leaving."""
        self.failed = 0

    async def send(self, host: Host) -> None:
        """Send requests that must not run twice, until this task is ended."""
        for number in range(10_000):
            identity = f"call-{number}-{host.name}"
            sent_s = time.monotonic() - self.left_at
            answer = await call(self.world, host, identity, "/c/1", 2500, method="POST")
            if identity in self.left.runs:
                self.ran_at_by_host[host.name].append(sent_s)
                self.failed += answer.status != 200
            await asyncio.sleep(CALLS_PAUSE_S)


async def run(folder: Path) -> int:
    """Run the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)
    say = world.record.say
    try:
        await world.store.start()
        runners = [await world.add_service(f"app-{each}", "app") for each in range(RUNNERS)]
        routes = [route("calls", "/c/", "non_idempotent", "app", public=True)]
        await world.publish(routes, [{"name": "app"}], limits=LIMITS)
        if not await world.start_hosts(HOSTS):
            return 2
        await asyncio.sleep(3.0)
        left = runners[0]
        await left.leave()
        say(f"the entry of {left.name} is gone; it serves on for {SERVES_ON_S} s")
        calls = Calls(world, left, time.monotonic())
        tasks = [asyncio.create_task(calls.send(host)) for host in world.hosts]
        await asyncio.sleep(BEFORE_OUTAGE_S)
        if trouble:
            world.store.is_down = True
            say(f"the store is down: it answers 503 for {OUTAGE_S} s")
        await asyncio.sleep(OUTAGE_S)
        world.store.is_down = False
        returned_s = time.monotonic() - calls.left_at
        say(f"the store is there, {returned_s:.1f} s after the ack of the leaving")
        await asyncio.sleep(SERVES_ON_S - returned_s)
        left.end()
        say(f"{left.name} ends")
        await asyncio.sleep(1.5)
        for task in tasks:
            task.cancel()
        late = {
            name: [at for at in ran if at > DRAIN_S] for name, ran in calls.ran_at_by_host.items()
        }
        for name, ran in late.items():
            first = f", {ran[0]:.1f} to {ran[-1]:.1f} s after the ack" if ran else ""
            say(f"requests through {name} that it ran later than {DRAIN_S} s: {len(ran)}{first}")
        say(f"requests that {left.name} ran and that got no answer with success: {calls.failed}")
        is_broken = any(late.values())
        say("the rule is broken" if is_broken else "the rule holds")
        return 1 if is_broken else 0
    finally:
        world.end()


main(run, __file__)
