"""Homes of marked templates: the engines that hold them, spread so that none holds too many.

Every host works this out alike from the published events and the pool, without any agreement.
Source: bounded loads as in Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", 2016, on rendezvous ranks instead of a ring.
"""

from collections.abc import Iterable, Mapping, Sequence

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_routing.rendezvous import rank_names


def assign_homes(
    copies_by_template: Mapping[str, int], upstreams: Sequence[UpstreamId]
) -> dict[str, tuple[UpstreamId, ...]]:
    """Return the engines of each template, as many as it has copies, first home first.

    No engine gets more than its even share, rounded up.
    """
    if not upstreams:
        return {}
    wanted = {name: min(count, len(upstreams)) for name, count in copies_by_template.items()}
    share = -(-sum(wanted.values()) // len(upstreams))
    held = dict.fromkeys(upstreams, 0)
    homes = {}
    for name in sorted(wanted):
        homes[name] = tuple(_take(rank_names(name, upstreams), wanted[name], held, share))
    return homes


def _take(
    ranked: Iterable[UpstreamId], count: int, held: dict[UpstreamId, int], share: int
) -> list[UpstreamId]:
    """Take the first engines of a ranking that have room, then the least held."""
    ranked = list(ranked)
    chosen = [upstream for upstream in ranked if held[upstream] < share][:count]
    rest = [upstream for upstream in ranked if upstream not in chosen]
    chosen += sorted(rest, key=held.__getitem__)[: count - len(chosen)]
    for upstream in chosen:
        held[upstream] += 1
    return chosen
