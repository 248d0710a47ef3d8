"""Homes of marked templates: the engines that hold them, spread so that none holds too many.

Every host works this out alike from the published events and the pool, without any agreement.
Source: bounded loads as in Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", 2016, on rendezvous ranks instead of a ring.
"""

from collections.abc import Iterable, Mapping, Sequence

from ruddersaddle_routing.rendezvous import rank_names


def assign_homes(
    copies_by_template: Mapping[str, int], addresses: Sequence[str]
) -> dict[str, tuple[str, ...]]:
    """Return the engines of each template, as many as it has copies, first home first.

    No engine gets more than its even share, rounded up.
    """
    if not addresses:
        return {}
    wanted = {name: min(count, len(addresses)) for name, count in copies_by_template.items()}
    share = -(-sum(wanted.values()) // len(addresses))
    held = dict.fromkeys(addresses, 0)
    homes = {}
    for name in sorted(wanted):
        homes[name] = tuple(_take(rank_names(name, addresses), wanted[name], held, share))
    return homes


def _take(ranked: Iterable[str], count: int, held: dict[str, int], share: int) -> list[str]:
    """Take the first engines of a ranking that have room, then the least held."""
    ranked = list(ranked)
    chosen = [address for address in ranked if held[address] < share][:count]
    rest = [address for address in ranked if address not in chosen]
    chosen += sorted(rest, key=held.__getitem__)[: count - len(chosen)]
    for address in chosen:
        held[address] += 1
    return chosen
