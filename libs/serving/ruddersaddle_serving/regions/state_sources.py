"""Which hosts a host asks for their state, and which ones it notifies of changes.

Without several regions, these are the readers of halls. With several, they are the hosts that rank
first in the own region; the first readers of other regions are asked only if none of these has a
recent state. Nothing here sends a message.
"""

import random

from ruddersaddle_base import clocks

from ruddersaddle_serving.hosts import Hosts

ASK_TIMEOUT_S = 0.4
"""Time-out of a request to a peer; one way between halls takes about a millisecond."""
FAR_TIMEOUT_S = 1.0
"""Time-out of a request to a peer of another region: 60 ms on an empty link, more with a queue."""
STALE_S = 2.3
"""Age of the view above which a reader also asks other readers: its own reads confirm the view as
of 1 to 2 s ago, unless the store does not answer it. Changes do not wait for this: readers notify
one another at once (`Changed`)."""
ASK_PAUSE_S = 0.6
"""Pause between a host's requests to a reader. With the reader's own reads (a second) the response
confirms the view well within the shortest bound on its age (2 s)."""
URGENT_PAUSE_S = 0.3
"""The same with several regions for the host that would replace the region's reader, so that it
notices its loss within 0.8 s, and for hosts whose view is older than `STALE_S`."""
OWN_SOURCES = 2
"""Hosts of the own region that are asked: its reader, and the one that replaces it."""
FAR_SPREAD_S = 0.7
"""A host asks another region once its view is older than `STALE_S` plus a random part of this.
All hosts of a region that has just lost its reader would otherwise load the link at the same
moment; the next reader has a recent state within about a second."""
FAR_PAUSE_S = 2.0
"""Shortest pause between such requests of one host, plus up to as much again at random. In an
outage of the store no host has a recent state, and 33 hosts would send 80 requests a second."""
START_PEERS = 3
"""Number of hosts that a starting host asks: after a compaction the store's responses may lag, and
a peer may know a newer configuration."""


class StateSources:
    """The hosts to ask and to notify, by what this host knows of the others."""

    def __init__(self, hosts: Hosts) -> None:
        self.hosts = hosts
        self._far_due_at = float("-inf")
        """When this host may ask another region again unless it is the reader of its own."""

    def timeout_s(self, address: str) -> float:
        """Return the time-out of a request to a host."""
        return ASK_TIMEOUT_S if self.hosts.is_in_region(address) else FAR_TIMEOUT_S

    def pause_s(self, age_s: float) -> float:
        """Return the pause between requests for state if the view is `age_s` old."""
        if not self.hosts.regions.is_divided:
            return ASK_PAUSE_S
        is_urgent = age_s > STALE_S or self._is_next_reader
        return URGENT_PAUSE_S if is_urgent else ASK_PAUSE_S

    @property
    def _is_next_reader(self) -> bool:
        """Whether this host replaces the region's reader, or is it itself."""
        return len(self.hosts.ranked_before_own(OWN_SOURCES)) < OWN_SOURCES

    def readers_to_ask(self, age_s: float) -> list[str]:
        """Return the hosts to ask in turn until one has a recent state."""
        hosts = self.hosts
        if not hosts.regions.is_divided:
            others = [each for each in hosts.readers() if each != hosts.own.address]
            known = hosts.addresses()
            return others or ([random.choice(known)] if known else [])
        own = hosts.region_sources(OWN_SOURCES)
        far = list(hosts.other_region_readers().values())
        if hosts.is_region_reader:
            return own[:1] + far
        return own + far if self._is_far_due(age_s) else own

    def _is_far_due(self, age_s: float) -> bool:
        """Return whether to ask other regions now; the next time is after a pause."""
        now = clocks.now_s()
        if now < self._far_due_at or age_s <= STALE_S + FAR_SPREAD_S * random.random():
            return False
        self._far_due_at = now + FAR_PAUSE_S * (1 + random.random())
        return True

    def to_ask_at_start(self) -> list[str]:
        """Return the hosts that a starting host asks: most of them in its region, one outside."""
        hosts = self.hosts
        if not hosts.regions.is_divided:
            others = hosts.addresses()
            return random.sample(others, min(START_PEERS, len(others)))
        own = hosts.region_addresses()
        far = list(hosts.other_region_readers().values())[:1]
        return random.sample(own, min(START_PEERS - len(far), len(own))) + far

    def to_notify(self, is_published: bool) -> list[str]:
        """Return the hosts to notify of a change; `is_published` if operators published it.

        With several regions, the region's reader notifies its hall and the readers of halls, which
        notify theirs and the region's reader. Other regions are notified only of what operators
        publish: their readers read entries themselves, and leaves are in the messages with loads.
        """
        hosts = self.hosts
        if not hosts.regions.is_divided:
            targets = {*hosts.hall_addresses(), *hosts.readers()} if hosts.is_reader() else set()
        elif hosts.is_reader():
            targets = {*hosts.hall_addresses(), *hosts.region_reader_by_hall().values()}
            targets |= set(hosts.other_region_readers().values()) if is_published else set()
        elif hosts.serves_hall():
            targets = {*hosts.hall_addresses(), *hosts.region_sources(1)}
        else:
            targets = set()
        return sorted(targets - {hosts.own.address})
