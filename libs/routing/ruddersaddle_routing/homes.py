"""Assigns marked templates to home engines by rendezvous hashing with bounded loads.

All hosts compute the same assignment from the published events and the pool, without coordination.
Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2016, applied
to rendezvous ranks instead of a ring.
"""

from collections.abc import Iterable, Mapping, Sequence

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_routing.rendezvous import rank_names


def assign_homes(
    copies_by_template: Mapping[str, int], upstreams: Sequence[UpstreamId]
) -> dict[str, tuple[UpstreamId, ...]]:
    """Return the home engines of each template, one for each copy, most preferred first.

    No engine gets more than an even share of all copies, rounded up.
    """
    if not upstreams:
        return {}
    wanted = {name: min(count, len(upstreams)) for name, count in copies_by_template.items()}
    capacity = -(-sum(wanted.values()) // len(upstreams))
    held = dict.fromkeys(upstreams, 0)
    homes = {}
    for name in sorted(wanted):
        homes[name] = tuple(_pick(rank_names(name, upstreams), wanted[name], held, capacity))
    return homes


def _pick(
    ranked: Iterable[UpstreamId], count: int, held: dict[UpstreamId, int], capacity: int
) -> list[UpstreamId]:
    """Return the highest-ranked engines with room, then those that hold the fewest copies."""
    ranked = list(ranked)
    chosen = [upstream for upstream in ranked if held[upstream] < capacity][:count]
    rest = [upstream for upstream in ranked if upstream not in chosen]
    chosen += sorted(rest, key=held.__getitem__)[: count - len(chosen)]
    for upstream in chosen:
        held[upstream] += 1
    return chosen
