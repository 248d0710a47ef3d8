"""Tells all hosts which engines are about to load weights and which have loaded them.

One message concerns all engines of a step. A host sends it to the hosts of its hall and to the
reader of each other hall, which sends it on to its own hall. A message for each pair of engine and
host kept the sender's event loop busy for up to a second, in which its time-outs expired.
"""

import logging
from collections.abc import Callable, Iterable

import eventlet
import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, RegionId

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.neighbour_messages import Ack, Loaded, Loading

logger = logging.getLogger(__name__)

REGION_READERS_TRIED = 2
"""Hosts of another region that a message for all hosts there is sent to until one answers."""

Notice = Loading | Loaded
Ask = Callable[[str, Notice], Ack | Failure]
"""Sends a notice to a peer address and returns the answer."""


class WeightNotices:
    """Sends notices on engines that load weights, and relays those of other hosts."""

    def __init__(self, hosts: Hosts, ask: Ask) -> None:
        self.hosts = hosts
        self.ask = ask

    def send_to_all(self, notice: Notice) -> None:
        """Send a notice to all other hosts; it doesn't wait for their answers."""
        self._send_in_region(notice)
        for region in self.hosts.other_region_readers():
            eventlet.spawn(self._send_to_region, region, notice)

    def relay(self, notice: Notice) -> None:
        """Send a notice on if its sender asks for that."""
        plain = msgspec.structs.replace(notice, relays=msgspec.UNSET, hall_relays=False)
        if notice.relays is True:
            self._send_in_region(plain)
        elif notice.hall_relays:
            self._send_to_each(self.hosts.hall_addresses(), plain)

    def _send_in_region(self, notice: Notice) -> None:
        by_hall: dict[HallId, list[str]] = {}
        for each in self.hosts.region_others():
            by_hall.setdefault(each.hall, []).append(each.address)
        self._send_to_each(by_hall.pop(self.hosts.own.hall, []), notice)
        readers = self.hosts.region_reader_by_hall()
        for hall, addresses in by_hall.items():
            eventlet.spawn(self._send_to_hall, readers.get(hall), addresses, notice)

    def _send_to_hall(self, reader: str | None, addresses: list[str], notice: Notice) -> None:
        """Send a notice to the reader of a hall, and to each host there if it doesn't relay it.

        Hosts of the former version don't, and their answers don't tell how many engines they know.
        """
        others = [each for each in addresses if each != reader]
        if reader is not None:
            relaying = msgspec.structs.replace(notice, hall_relays=True)
            answer = self._send(reader, relaying)
            if answer is not None and answer.engines:
                return
            logger.info("Hall's reader at %s relays no notices on loads of weights.", reader)
        self._send_to_each(others, notice)

    def _send_to_region(self, region: RegionId | None, notice: Notice) -> None:
        """Send a notice to the first reader of another region, or to the next one."""
        relaying = msgspec.structs.replace(notice, relays=True)
        for _ in range(REGION_READERS_TRIED):
            address = self.hosts.other_region_readers().get(region)
            if address is None or self._send(address, relaying) is not None:
                return

    def _send_to_each(self, addresses: Iterable[str], notice: Notice) -> None:
        for address in addresses:
            eventlet.spawn(self._send, address, notice)

    def _send(self, address: str, notice: Notice) -> Ack | None:
        """Send a notice; return the answer, or None without one.

        A host of the former version knows only the first engine of a notice, so it gets one notice
        for each of the others.
        """
        answer = self.ask(address, notice)
        if isinstance(answer, Failure):
            return None
        if not answer.engines:
            for single in notice.singles()[1:]:
                if isinstance(self.ask(address, single), Failure):
                    break
        return answer
