"""Tests of how the slots of brittle upstreams are split over hosts."""

import unittest
from collections import Counter

from ruddersaddle_base.ids import UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.slot_shares import split_slots
from ruddersaddle_serving.upstream_entries import UpstreamInstance

SIZES = ((1, 4, 4), (3, 4, 4), (7, 4, 4), (7, 5, 3), (85, 50, 4), (85, 12, 128), (100, 3, 1))
"""Hosts, upstreams, and slots of each upstream."""


def split(hosts: int, upstreams: int, slots: int) -> dict[str, dict[UpstreamInstance, int]]:
    """Return the slots of each host, as the host itself computes them."""
    names = [f"host-{number}" for number in range(hosts)]
    instances = [UpstreamInstance(UpstreamId(f"s-{number}"), 1) for number in range(upstreams)]
    # Hosts hear of upstreams in different orders.
    known = [(each, slots, rank_names(str(each), names)) for each in instances]
    return {
        name: split_slots(known[number % upstreams :] + known[: number % upstreams], name)
        for number, name in enumerate(names)
    }


class SlotSharesTest(unittest.TestCase):
    def test_hosts_together_have_the_slots_of_each_upstream(self) -> None:
        """Guards against hosts that together send more than a brittle upstream runs."""
        for hosts, upstreams, slots in SIZES:
            with self.subTest(hosts=hosts, upstreams=upstreams, slots=slots):
                total: Counter[UpstreamInstance] = Counter()
                for own in split(hosts, upstreams, slots).values():
                    total.update(own)
                self.assertEqual(len(total), upstreams)
                self.assertEqual(set(total.values()), {slots})

    def test_hosts_have_equally_many_slots(self) -> None:
        """Guards against hosts that refuse requests while others leave their slots idle."""
        for hosts, upstreams, slots in SIZES:
            with self.subTest(hosts=hosts, upstreams=upstreams, slots=slots):
                counts = [sum(own.values()) for own in split(hosts, upstreams, slots).values()]
                self.assertLessEqual(max(counts) - min(counts), 1)

    def test_pool_without_upstreams_has_no_slots(self) -> None:
        self.assertEqual(split_slots([], "host-0"), {})


if __name__ == "__main__":
    unittest.main()
