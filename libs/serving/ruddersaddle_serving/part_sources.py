"""Where an engine can fetch the shared parts of a prompt from: context stores and other engines."""

import msgspec
from ruddersaddle_base.ids import HallId

from ruddersaddle_serving.context_stores import OTHER_HALL_FACTOR, TOKEN_BYTES, KeptStore
from ruddersaddle_serving.kept_parts import KeptParts
from ruddersaddle_serving.prompts import Part, Prompt
from ruddersaddle_serving.trackers import Tracker

ENGINE_START_S = 0.005
"""Wait before a move between engines begins; the known kinds take 2 to 4 ms."""
ENGINE_LINK_MBPS = 300_000.0
"""Link of an engine where the configuration doesn't say."""
ENGINES_MAX = 2
"""Engines that are remembered as sources of a part: one, and another if that is the reader."""


class EngineSource(msgspec.Struct, frozen=True):
    """An engine that has read a part for other requests.

    It is a fallback for parts that no store has (yet, or any more); one that has given the part up
    meanwhile costs a millisecond. Its parts need no rule against freeing: an engine sends what it
    has under the same salt, or nothing.
    """

    tracker: Tracker

    @property
    def address(self) -> str:
        """Address that the part is fetched from."""
        return self.tracker.entry.address

    def move_s(self, tokens: int, hall: HallId) -> float:
        """Return about how long moving so many tokens to an engine in a hall takes."""
        ways = 1.0 if hall == self.tracker.entry.hall else OTHER_HALL_FACTOR
        return ENGINE_START_S + ways * tokens * TOKEN_BYTES * 8 / (ENGINE_LINK_MBPS * 1e6)


class PartSources(msgspec.Struct, frozen=True):
    """Sources of one part: a store that has it whole, or engines that have read it."""

    store: KeptStore | None = None
    engines: tuple[Tracker, ...] = ()

    def for_reader(self, reader: Tracker) -> KeptStore | EngineSource | None:
        """Return the source for an engine that would read the prompt."""
        if self.store is not None:
            return self.store
        others = [each for each in self.engines if each is not reader]
        return EngineSource(others[0]) if others else None


def find_sources(
    kept: KeptParts, engines: list[Tracker], salt: str, prompt: Prompt
) -> list[PartSources]:
    """Return the sources of each shared part, in order."""
    stores = kept.find_holders(salt, prompt)
    # Without the engines' clock a fetch could not be bounded in time.
    engines = engines if kept.fetch_until_ms is not None else []
    return [
        PartSources(store=store)
        if store is not None
        else PartSources(engines=_find_engines(engines, salt, part))
        for store, part in zip(stores, prompt.shared_parts, strict=True)
    ]


def _find_engines(engines: list[Tracker], salt: str, part: Part) -> tuple[Tracker, ...]:
    found = [each for each in engines if each.memory.has_read(salt, part)]
    return tuple(found[:ENGINES_MAX])
