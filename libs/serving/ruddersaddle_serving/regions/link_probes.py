"""Measures the links to other regions and reports them to the hosts of this region.

Only the first reader of a region measures, by the probes that hosts send one another anyway, so
that a link carries one probe each `PROBE_INTERVAL_S` in each direction.
"""

import random

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import RegionId
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.neighbour_messages import Ping
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.regions.links import LinkReports, LinkStatus, RegionLinks

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
"""Time-out of a probe; a link with a longer queue counts as one that doesn't answer."""
REPORTS_PER_PROBES = 2
"""Reports are sent with each second probe, each second, or at once if a region's status changes."""


class LinkProbes:
    """The task that probes the first readers of other regions while this host is one itself."""

    def __init__(self, hosts: Hosts, peers: Peers, links: RegionLinks) -> None:
        self.hosts = hosts
        self.peers = peers
        self.links = links
        self._probing: set[RegionId | None] = set()
        self._status_by_region: dict[RegionId | None, LinkStatus] = {}
        self._count = 0

    def start(self) -> None:
        """Start the task if there is more than one region."""
        if self.hosts.regions.is_divided:
            spawn_forever("links", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(PROBE_INTERVAL_S)
            self.probe_all()

    def probe_all(self) -> None:
        """Start a probe of each region that isn't being probed, and report what is known."""
        if not self.hosts.is_region_reader:
            self.links.clear_measured()
            return
        for region in self.hosts.regions.regions - {self.hosts.regions.own} - self._probing:
            address = self._target(region)
            if address is not None:
                self._probing.add(region)
                eventlet.spawn(self._probe, region, address)
        self._count += 1
        self._report()

    def _target(self, region: RegionId) -> str | None:
        """Return the first reader of a region; any of its hosts if none of them answers."""
        reader = self.hosts.other_region_readers().get(region)
        region_of = self.hosts.regions.region_of
        known = [each.address for each in self.hosts.others() if region_of(each.hall) == region]
        return reader or (random.choice(known) if known else None)

    def _probe(self, region: RegionId, address: str) -> None:
        asked_at = clocks.now_s()
        try:
            answer = self.peers.ask(address, Ping(), PROBE_TIMEOUT_S)
        finally:
            self._probing.discard(region)
        link = self.links.measured(region)
        if isinstance(answer, Failure):
            self.hosts.record_unresponsive(address)
            link.record_no_answer()
        else:
            self.hosts.record_response(address)
            link.record_answer(clocks.now_s() - asked_at)

    def _report(self) -> None:
        """Send the state of links to the hosts of this region."""
        reports = self.links.reports()
        status_by_region = {
            each.region: self.links.of_region(each.region).status for each in reports
        }
        if status_by_region == self._status_by_region and self._count % REPORTS_PER_PROBES:
            return
        self._status_by_region = status_by_region
        if reports:
            message = LinkReports(self.hosts.own.address, reports)
            self.peers.broadcast(self.hosts.region_addresses(), message)
