"""A lease holder is frozen past its lease and resumes while a successor gives orders."""

import unittest

from ruddersaddle_base.failures import Failure
from ruddersaddle_state.entries import Model

from ruddersaddle_standins.engine_servers import EngineRecord
from ruddersaddle_standins.fleets import MODEL, Fleet, Topology
from ruddersaddle_standins.processes import wait_until

SETTINGS = {"leases.length_s": "1.5", "leases.margin_s": "0.5"}
LOAD_S = "0.8"


class OrderTest(unittest.TestCase):
    def swap_with_frozen_holder(self, checks_fences: bool) -> tuple[int, int]:
        """Publish v2, freeze the lease holder, and resume it after its successor has loaded v3.

        Return how many orders the engines refused and how many the hosts withheld.
        """
        speeds = {"weight_s": LOAD_S, "checks_fences": str(checks_fences).lower()}
        topology = Topology(
            hosts=3,
            engines=3,
            stores=0,
            settings=SETTINGS,
            speeds=speeds,
            checks_fences=checks_fences,
        )
        with Fleet(topology) as fleet:
            self.fleet = fleet
            fleet.publish(Model(MODEL, "v2"))
            wait_until(lambda: self.holder() is not None, "a host takes the lease")
            holder = self.holder()
            fleet.by_name[holder].freeze()
            fleet.publish(Model(MODEL, "v3"))
            others = [name for name in fleet.host_names() if name != holder]
            for name in others:
                wait_until(lambda host=name: self.runs(host, "v3"), "every engine runs v3")
            fleet.by_name[holder].thaw()
            wait_until(lambda: self.runs(holder, "v3"), "the old holder sees v3")
            records = [fleet.fetch(f"engine-{n}", "/record", EngineRecord) for n in (1, 2, 3)]
            statuses = [fleet.status(name) for name in fleet.host_names()]
            self.assertTrue(all(self.runs(name, "v3") for name in fleet.host_names()))
            refused = sum(record.orders_refused for record in records)
            withheld = sum(status.counts["orders_withheld"] for status in statuses)
            return refused, withheld

    def holder(self) -> str | None:
        for name in self.fleet.host_names():
            status = self.fleet.status(name)
            if not isinstance(status, Failure) and status.leases_held:
                return name
        return None

    def runs(self, host: str, version: str) -> bool:
        status = self.fleet.status(host)
        if isinstance(status, Failure):
            return False
        rows = [row for row in status.upstreams if row.pool == "engines"]
        return len(rows) == 3 and all(row.version == version for row in rows)

    def test_engines_that_check_fences_end_on_the_newest_version(self):
        self.swap_with_frozen_holder(checks_fences=True)

    def test_engines_that_check_no_fences_end_on_the_newest_version(self):
        refused, _ = self.swap_with_frozen_holder(checks_fences=False)
        self.assertEqual(refused, 0)


if __name__ == "__main__":
    unittest.main()
