"""Stand-in for the platform's host list, with a lag, and for the rate-limited weight store."""

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
STEP_S = 0.02


class Version(msgspec.Struct):
    """The list as set at a time."""

    number: int
    at: float
    hosts: list[HostRow]


class ListServer(Server):
    """Shows the list that tests set, as it was a lag ago; fault `refuse` answers 503."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.versions: deque[Version] = deque([Version(0, 0.0, [])])

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Take a new list, or answer a poll."""
        if method == "PUT":
            hosts = read_json(environ, list[HostRow])
            number = self.versions[-1].number + 1
            self.versions.append(Version(number, time.time(), hosts))
            return json_answer(number)
        if self.has("refuse"):
            return Answer(503)
        shown = self._shown()
        if int(read_query(environ, "since", -1)) == shown.number:
            return json_answer(HostPage(shown.number, None))
        return json_answer(HostPage(shown.number, shown.hosts))

    def _shown(self) -> Version:
        oldest = time.time() - self.speeds.list_lag_s
        while len(self.versions) > 1 and self.versions[1].at <= oldest:
            self.versions.popleft()
        return self.versions[0]


class WeightServer(Server):
    """The weight store: a load takes its time, longer while more than two run."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.loading = 0
        self.most_at_once = 0

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Answer a load once it is done, or the most loads that ran at once."""
        if path == "/most":
            return json_answer(self.most_at_once)
        self.loading += 1
        self.most_at_once = max(self.most_at_once, self.loading)
        done = 0.0
        while done < self.speeds.weight_s:
            eventlet.sleep(STEP_S)
            done += STEP_S * min(1.0, FULL_RATE_LOADS / self.loading)
        self.loading -= 1
        return json_answer(self.speeds.weight_s)
