"""Client of the platform's host list, which shows live and leaving hosts with a lag."""

import logging
from enum import Enum

import eventlet
import msgspec
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.ids import HallId, HostId
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_upstreams.connections import Connections

logger = logging.getLogger(__name__)


class HostState(Enum):
    """The state of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(Enum):
    """The role of a host in the list."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


class HostRow(msgspec.Struct, frozen=True):
    """One host of the list; `peer_address` is set for entry hosts."""

    id: HostId
    role: HostRole
    address: str
    hall: HallId
    state: HostState
    peer_address: str = ""


class HostPage(msgspec.Struct):
    """The list as of a version; no rows if the client's version is the newest."""

    version: int
    hosts: list[HostRow] | None


class HostList:
    """The newest list that was read; kept while the platform is unavailable."""

    def __init__(self, address: str, poll_s: float, timeout_s: float) -> None:
        self.address = address
        self.poll_s = poll_s
        self.version = -1
        self.by_id: dict[HostId, HostRow] = {}
        self.by_address: dict[str, HostRow] = {}
        self.connections = Connections(address, timeout_s, timeout_s)

    def start(self) -> None:
        """Start the task that polls the list."""
        spawn_forever("host list", self._run)

    def _run(self) -> None:
        while True:
            self.refresh()
            eventlet.sleep(self.poll_s)

    def refresh(self) -> bool:
        """Read the list if it has changed; return whether the platform answered."""
        data = self.connections.call_ok("GET", f"/hosts?since={self.version}", b"", Step.READ)
        if isinstance(data, Failure):
            return False
        page = decode_json(data, HostPage, Step.READ, self.address)
        if isinstance(page, Failure):
            logger.warning("Answer of the host list can't be decoded. %s", page.detail)
            return False
        if page.hosts is not None:
            self.version = page.version
            self.by_id = {row.id: row for row in page.hosts}
            self.by_address = {row.address: row for row in page.hosts}
        return True

    def entries(self) -> list[HostRow]:
        """Return the entry hosts, sorted by id."""
        rows = [row for row in self.by_id.values() if row.role is HostRole.ENTRY]
        return sorted(rows, key=lambda row: row.id)

    def is_leaving(self, address: str) -> bool:
        """Return whether the host at an address is leaving; False if it is not listed."""
        row = self.by_address.get(address)
        return row is not None and row.state is HostState.LEAVING
