"""Tests of waits for the role of a reader."""

import unittest

import eventlet
from ruddersaddle_base.ids import HallId, HostId

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.role_changes import RoleChanges

HALL = HallId("h")


class RoleChangesTest(unittest.TestCase):
    def test_host_that_becomes_a_reader_is_woken_at_once(self) -> None:
        """Else no host of the hall reads the store until the next check."""
        own, first = HostRecord("10.0.0.1:1", HALL), HostRecord("10.0.0.2:1", HALL, 10.0)
        hosts = Hosts(HostId("a"), own, [])
        hosts.replace({HostId("b"): first})
        changes = RoleChanges(hosts)
        with eventlet.Timeout(3):
            for change in (
                lambda: hosts.record_unresponsive(first.address),
                lambda: hosts.replace({}),
            ):
                eventlet.spawn(change)
                changes.wait(60.0)
        self.assertTrue(hosts.is_reader())


if __name__ == "__main__":
    unittest.main()
