"""Stand-ins for the platform's host list, which lags, and for the rate-limited weight store."""

import time
from collections import deque

import eventlet
import msgspec
from ruddersaddle_upstreams.host_lists import HostPage, HostRow

from ruddersaddle_standins.servers import (
    Answer,
    Environ,
    Server,
    json_answer,
    read_json,
    read_query,
)
from ruddersaddle_standins.speeds import Speeds

FULL_RATE_LOADS = 2
LOAD_STEP_S = 0.02


class ListVersion(msgspec.Struct):
    """One version of the list, and the time at which it was set."""

    number: int
    at: float
    hosts: list[HostRow]


class ListServer(Server):
    """Serves the list that tests set, delayed by the lag; fault `refuse` responds with 503."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.versions: deque[ListVersion] = deque([ListVersion(0, 0.0, [])])

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Set a new list, or respond to a poll."""
        if method == "PUT":
            hosts = read_json(environ, list[HostRow])
            number = self.versions[-1].number + 1
            self.versions.append(ListVersion(number, time.time(), hosts))
            return json_answer(number)
        if self.is_active("refuse"):
            return Answer(503)
        visible = self._visible_version()
        if int(read_query(environ, "since", -1)) == visible.number:
            return json_answer(HostPage(visible.number, None))
        return json_answer(HostPage(visible.number, visible.hosts))

    def _visible_version(self) -> ListVersion:
        oldest = time.time() - self.speeds.list_lag_s
        while len(self.versions) > 1 and self.versions[1].at <= oldest:
            self.versions.popleft()
        return self.versions[0]


class WeightServer(Server):
    """The weight store; loads take longer while more than two run at once."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.active_loads = 0
        self.concurrent_max = 0

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Respond to a load once it is done, or return the most loads that ran at once."""
        if path == "/most":
            return json_answer(self.concurrent_max)
        self.active_loads += 1
        self.concurrent_max = max(self.concurrent_max, self.active_loads)
        done = 0.0
        while done < self.speeds.weight_s:
            eventlet.sleep(LOAD_STEP_S)
            done += LOAD_STEP_S * min(1.0, FULL_RATE_LOADS / self.active_loads)
        self.active_loads -= 1
        return json_answer(self.speeds.weight_s)
