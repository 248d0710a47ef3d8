"""The platform's part: it enforces memory limits and starts ended processes again."""

import asyncio
import signal

from world import Host, World, call

RESTART_S = 0.5
"""The short delay after which an ended process is started again."""
SAMPLE_S = 0.01
ENDS_MIN = 3
MACHINES_MIN = 2
"""Ends on each of so many machines that the rule on ending processes takes for a fault."""


class Platform:
    """Kills a process that is over its memory limit, and starts it again after a short delay."""

    def __init__(self, world: World, memory_mb: int) -> None:
        self.world = world
        self.memory_mb = memory_mb
        self.ends_by_host = {host.name: 0 for host in world.hosts}
        self.peak_by_host = {host.name: 0.0 for host in world.hosts}

    async def watch(self, host: Host) -> None:
        """Watch one host."""
        while True:
            used_mb = host.rss_mb()
            self.peak_by_host[host.name] = max(self.peak_by_host[host.name], used_mb)
            if used_mb > self.memory_mb:
                self.world.record.say(
                    f"{host.name} uses {used_mb:.0f} MB of {self.memory_mb}: killed"
                )
                self.ends_by_host[host.name] += 1
                host.signal(signal.SIGKILL)
                host.process.wait()
                await asyncio.sleep(RESTART_S)
                host.start()
            await asyncio.sleep(SAMPLE_S)

    @property
    def is_fault(self) -> bool:
        """Whether processes on two machines have ended three times each."""
        return sum(ends >= ENDS_MIN for ends in self.ends_by_host.values()) >= MACHINES_MIN

    def report(self) -> None:
        """Write how often processes ended, and their highest memory."""
        peaks = {name: round(peak) for name, peak in self.peak_by_host.items()}
        self.world.record.say(f"ends by host: {self.ends_by_host}")
        self.world.record.say(f"highest memory in MB: {peaks}")


async def call_steadily(world: World, answers: list) -> None:
    """Send small requests to each host in turn, each on a channel of its own."""

    async def send(number: int) -> None:
        host = world.hosts[number % len(world.hosts)]
        answers.append(await call(world, host, f"small-{number}", "/c/1", 2500))

    tasks = []
    for number in range(10_000):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.1)
