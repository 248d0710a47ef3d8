"""Splits the slots of a pool's upstreams over the hosts, so that each host gets nearly as many.

Callers spread over hosts evenly. If each upstream's slots went to its first hosts by rendezvous
hashing alone, hosts would have 0 to 7 of 200 slots with 85 hosts: some would leave theirs idle
while others refuse requests.
"""

from collections.abc import Iterable, Sequence

from ruddersaddle_serving.brittle_pools import share_of_slots
from ruddersaddle_serving.upstream_entries import UpstreamInstance


def split_slots(
    upstreams: Iterable[tuple[UpstreamInstance, int, Sequence[str]]], host: str
) -> dict[UpstreamInstance, int]:
    """Return a host's slots at each upstream.

    `upstreams` are instances, their slots, and all hosts in the upstream's rendezvous order. Each
    upstream's slots go to the hosts that have the fewest of earlier upstreams, in this order.
    """
    taken_by_host: dict[str, int] = {}
    own_by_instance: dict[UpstreamInstance, int] = {}
    for instance, slots, ranked in sorted(upstreams, key=lambda each: each[0].id):
        ordered = sorted(ranked, key=lambda name: taken_by_host.get(name, 0))
        for rank, name in enumerate(ordered):
            share = share_of_slots(slots, rank, len(ordered))
            if not share:
                break
            taken_by_host[name] = taken_by_host.get(name, 0) + share
            if name == host:
                own_by_instance[instance] = share
    return own_by_instance
