"""After a suspension of the host, ages and leases include the time of the suspension.

The monotonic clock stops while the host is suspended. Measured with it, a configuration read 5 s
ago was 0 s old, so that revoked keys of callers were still accepted, and a lease of 0.9 s counted
as held.
"""

import re
import time
import unittest
from pathlib import Path
from unittest import mock

import ruddersaddle_base
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code
from ruddersaddle_base.ids import HostId, Incarnation, ModelId, RequestId, WorkspaceId
from ruddersaddle_routing.retry_budgets import RetryBound, RetryBudgets

import ruddersaddle_serving
from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.forwarders import Forwarder
from ruddersaddle_serving.ports import (
    AppendOutcome,
    AppendResult,
    ModelVersion,
    Page,
    StorePosition,
)
from ruddersaddle_serving.prompts import CallerHead, CallerRequest
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Route, RouteKind, RouteName, Workspace
from ruddersaddle_serving.standstills import StallMonitor
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.upstream_lists import UpstreamList

SUSPENDED_S = 6.0
ROUTE = Route(RouteName("r"), "h", "/", RouteKind.ONCE, 5.0, 0.4, ())
CLOCK_READ = re.compile(r"\btime\.(time|monotonic|perf_counter|clock_gettime)\b")
EXEMPT_MODULES = {"clocks.py": "the clocks themselves", "bounded_outputs.py": "lines a second"}
"""Modules that may read clocks directly, each with its reason."""


class SuspensionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspended_s = 0.0
        steady_s = time.monotonic()
        for name, fake in (
            ("monotonic", lambda: steady_s),
            ("clock_gettime", lambda _: steady_s + self.suspended_s),
        ):
            patch = mock.patch.object(time, name, fake)
            patch.start()
            self.addCleanup(patch.stop)
        self.publications = Publications()
        self.publications.confirm(clocks.now_s(), StorePosition(0, 1))

    def suspend(self) -> None:
        """Suspend the host: real time passes, the monotonic clock stops."""
        self.suspended_s += SUSPENDED_S

    def make_request(self) -> CallerRequest:
        head = CallerHead(RequestId("q"), "key", None, None, None, ())
        workspace = Workspace(WorkspaceId("w"), None, False)
        return CallerRequest(head, "POST", "/", b"", ROUTE, workspace, clocks.now_s())

    def test_key_is_not_accepted_on_a_configuration_from_before(self) -> None:
        forwarder = Forwarder(
            mock.Mock(),
            mock.Mock(),
            self.publications,
            RetryBudgets(RetryBound(0.1, 50.0, 10.0)),
            4.7,
            mock.Mock(),
            mock.Mock(),
        )
        request = self.make_request()
        self.assertIsNone(forwarder.check_key_age(request))
        self.suspend()
        self.assertEqual(forwarder.check_key_age(request).code, Code.STALE_CONFIGURATION)

    def test_lease_has_run_out(self) -> None:
        store = mock.Mock(eras=StoreEras())
        store.changes.return_value = Page((), StorePosition(0, 0))
        store.append.return_value = AppendResult(AppendOutcome.DONE, StorePosition(0, 1))
        lease = FenceLease(store, Incarnation(HostId("h")), 3.0)
        self.assertTrue(lease.acquire())
        self.suspend()
        self.assertFalse(lease.may_order)

    def test_deadline_of_a_request_has_passed(self) -> None:
        request = self.make_request()
        self.suspend()
        self.assertLess(request.remaining_s, 0)

    def test_list_of_upstreams_is_out_of_date(self) -> None:
        upstreams = UpstreamList()
        upstreams.replace([], clocks.now_s())
        self.suspend()
        self.assertFalse(upstreams.is_up_to_date)

    def test_replaced_weights_are_no_longer_used(self) -> None:
        model = ModelId("m")
        for version in (1, 2):
            self.publications.apply(ModelVersion(model, version))
        self.suspend()
        self.assertTrue(self.publications.is_replaced_for(model, 1, SUSPENDED_S - 0.1))

    def test_suspension_is_reported_as_a_stall(self) -> None:
        stall_monitor = StallMonitor()
        slept_at = clocks.now_s()
        self.suspend()
        stall_monitor.check(slept_at, 1.0)
        self.assertGreater(stall_monitor.total_s, SUSPENDED_S - 2.0)


class ClockReadsTest(unittest.TestCase):
    def test_no_other_module_reads_a_clock_directly(self) -> None:
        folders = [Path(each.__file__).parent for each in (ruddersaddle_serving, ruddersaddle_base)]
        found = [
            f"{path.name}:{number}"
            for folder in folders
            for path in sorted(folder.glob("*.py"))
            if path.name not in EXEMPT_MODULES
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if CLOCK_READ.search(line)
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
