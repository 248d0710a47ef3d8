"""Remembers which parts of prompts were requested and answered lately on this host.

Nothing here reads a clock. Times are Unix times in ms.
"""

from collections import Counter, deque

from ruddersaddle_serving.fingerprints import PartKey, model_of

PROVEN_MS = 60_000
"""How long an answer shows that a part was sound."""
PROVEN_MAX = 8192
"""Parts whose answers are remembered; 1 MB of memory."""
WINDOW_MS = 10_000
"""Requests are counted in this window and the one before it."""
WINDOW_PARTS_MAX = 8192
ANSWERS_MAX = 64
"""Latest answers of a model that are remembered with all their parts."""
MODELS_MAX = 64


class PartHistory:
    """Requests and answers by part, bounded by time and number."""

    def __init__(self) -> None:
        self._proven_at: dict[PartKey, int] = {}
        """Time of the last answer, the latest last."""
        self._arrivals: Counter[PartKey] = Counter()
        """Requests of the window by part, and by model: a model's name is no part's key."""
        self._earlier_arrivals: Counter[PartKey] = Counter()
        self._window_ms = 0
        self._answers_by_model: dict[str, deque[tuple[int, tuple[PartKey, ...]]]] = {}

    def record_request(self, parts: tuple[PartKey, ...], now_ms: int) -> None:
        """Record that a request with these parts has arrived."""
        if now_ms - self._window_ms >= WINDOW_MS:
            is_next = now_ms - self._window_ms < 2 * WINDOW_MS
            self._earlier_arrivals = self._arrivals if is_next else Counter()
            self._arrivals, self._window_ms = Counter(), now_ms
        model = (PartKey(model_of(parts[0])),) if parts else ()
        for part in (*model, *parts):
            if part in self._arrivals or len(self._arrivals) < WINDOW_PARTS_MAX:
                self._arrivals[part] += 1

    def count_arrivals(self, part: PartKey) -> int:
        """Return how many requests with a part have arrived lately."""
        return self._arrivals[part] + self._earlier_arrivals[part]

    def is_common(self, part: PartKey) -> bool:
        """Return whether at least half of the model's requests of late hold a part."""
        requests = self.count_arrivals(PartKey(model_of(part)))
        return requests > 0 and 2 * self.count_arrivals(part) >= requests

    def record_answer(self, parts: tuple[PartKey, ...], began_ms: int) -> None:
        """Record that a run with these parts, which began to be answered then, was answered."""
        for part in parts:
            self.record_proven(part, began_ms)
        if not parts:
            return
        model = model_of(parts[0])
        if model not in self._answers_by_model and len(self._answers_by_model) >= MODELS_MAX:
            del self._answers_by_model[next(iter(self._answers_by_model))]
        answers = self._answers_by_model.setdefault(model, deque(maxlen=ANSWERS_MAX))
        answers.append((began_ms, parts))

    def record_proven(self, part: PartKey, at_ms: int) -> None:
        """Record that prompts with a part are known to have been answered."""
        self._proven_at.pop(part, None)
        self._proven_at[part] = at_ms
        if len(self._proven_at) > PROVEN_MAX:
            del self._proven_at[next(iter(self._proven_at))]

    def is_proven(self, part: PartKey, now_ms: int) -> bool:
        """Return whether prompts with a part were answered lately."""
        return now_ms - self._proven_at.get(part, -PROVEN_MS) < PROVEN_MS

    def has_answered_without(self, part: PartKey, since_ms: int) -> bool:
        """Return whether a prompt for the same model without a part was answered since a time."""
        answers = self._answers_by_model.get(model_of(part), ())
        return any(began_ms > since_ms and part not in parts for began_ms, parts in answers)
