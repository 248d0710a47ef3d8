"""The fold of the configuration stream: the same records give the same state on every host.

State never moves backwards: it carries its position, and a snapshot or a peer's state with a lower
position does not replace it. A fold that lacks earlier records is incomplete: it holds back new
records until a snapshot covers the gap.
"""

import logging
from hashlib import blake2b

from ruddersaddle_base.codecs import encode_json
from ruddersaddle_base.ids import START, Position, RecordId, new_record_id, split_offset

from ruddersaddle_state.entries import (
    EntryKey,
    Event,
    Model,
    Template,
    Value,
    Workspace,
    check_value,
    entry_key,
)
from ruddersaddle_state.records import (
    Change,
    Edit,
    Entry,
    Outcome,
    PositionedRecord,
    RecordResult,
    Snapshot,
)

logger = logging.getLogger(__name__)

DIGEST_BYTES = 8
RESULTS_MAX = 2000
"""Results of changes that are remembered for operators' queries."""


class Configuration:
    """The configuration as of one position of its stream."""

    def __init__(self) -> None:
        self.by_key: dict[EntryKey, Entry] = {}
        self.workspace_by_digest: dict[str, Workspace] = {}
        self._value_by_name_by_kind: dict[type, dict[str, Value]] = {}
        self.position = START
        self.complete = False
        self.last_snapshot = START
        self.result_by_id: dict[RecordId, RecordResult] = {}
        self._held_back: list[PositionedRecord] = []
        self._held_back_from = START

    def begin(self, first: Position, gap: bool) -> None:
        """Start reading at `first`; a gap means that earlier records are no longer in the log."""
        if not gap:
            self.complete = True
            return
        logger.warning("Records are missing before position %d.", first)
        self.complete = False
        self._held_back = []
        self._held_back_from = first

    def apply(self, positioned: PositionedRecord) -> RecordResult:
        """Fold one record and return its result."""
        if positioned.position <= self.position:
            return self.result_by_id.get(
                positioned.record.id, RecordResult(Outcome.STALE, positioned.position)
            )
        if isinstance(positioned.record, Snapshot):
            return self._apply_snapshot(positioned, positioned.record)
        if not self.complete:
            self._held_back.append(positioned)
            return RecordResult(Outcome.HELD, positioned.position, "waiting for a snapshot")
        return self._apply_change(positioned)

    def _apply_snapshot(self, positioned: PositionedRecord, snapshot: Snapshot) -> RecordResult:
        self.last_snapshot = positioned.position
        if self.complete:
            self.position = positioned.position
            return RecordResult(Outcome.ACCEPTED, positioned.position)
        if not self.adopt(snapshot):
            return RecordResult(
                Outcome.STALE, positioned.position, "does not cover what is missing"
            )
        self.position = positioned.position
        return RecordResult(Outcome.ACCEPTED, positioned.position)

    def adopt(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot, then fold the held-back records; return whether it was.

        A snapshot is not adopted if it is older than the state, or if it leaves a gap before the
        records that were held back.
        """
        covers = split_offset(snapshot.upto) >= split_offset(self._held_back_from) - 1
        if snapshot.upto < self.position or not covers:
            return False
        self.by_key = {}
        self.workspace_by_digest = {}
        self._value_by_name_by_kind = {}
        for entry in snapshot.entries:
            self._put(entry)
        self.position = snapshot.upto
        self.complete = True
        held_back, self._held_back = self._held_back, []
        for positioned in held_back:
            self.apply(positioned)
        return True

    def _apply_change(self, positioned: PositionedRecord) -> RecordResult:
        self.position = positioned.position
        record = positioned.record
        if not isinstance(record, Change):
            return RecordResult(
                Outcome.REJECTED, positioned.position, "not a record of this stream"
            )
        known = self.result_by_id.get(record.id)
        if known is not None:
            return known
        result = self._apply_edits(record, positioned.position)
        self._record_result(record.id, result)
        return result

    def _apply_edits(self, change: Change, position: Position) -> RecordResult:
        for edit in change.edits:
            reason = self.check_edit(edit)
            if reason:
                return RecordResult(Outcome.REJECTED, position, reason)
        for edit in change.edits:
            self._put(Entry(edit.key, position, edit.value, change.id))
        return RecordResult(Outcome.ACCEPTED, position)

    def _put(self, entry: Entry) -> None:
        """Set an entry, and update the indexes of values by kind and of workspaces by digest."""
        old = self.by_key.get(entry.key)
        if old is not None and old.value is not None:
            self._remove(old.value)
        self.by_key[entry.key] = entry
        value = entry.value
        if value is None:
            return
        self._value_by_name_by_kind.setdefault(type(value), {})[value.id] = value
        if isinstance(value, Workspace):
            self.workspace_by_digest.update(dict.fromkeys(value.key_digests, value))

    def _remove(self, value: Value) -> None:
        self._value_by_name_by_kind[type(value)].pop(value.id)
        if not isinstance(value, Workspace):
            return
        for digest in value.key_digests:
            owner = self.workspace_by_digest.get(digest)
            if owner is not None and owner.id == value.id:
                del self.workspace_by_digest[digest]

    def check_edit(self, edit: Edit) -> str | None:
        """Return why an edit cannot be applied to this state, or None."""
        current = self.by_key.get(edit.key)
        version = START if current is None else current.version
        if edit.base != version:
            winner = "nothing" if current is None else f"change {current.change}"
            return f"{edit.key}: based on {edit.base}, but {winner} set it at {version}"
        if edit.value is None:
            return None
        if entry_key(edit.value) != edit.key:
            return f"{edit.key}: the value's kind and id do not match the key"
        wrong = check_value(edit.value) or self._check_digests(edit.value)
        return f"{edit.key}: {wrong}" if wrong else None

    def _check_digests(self, value: Value) -> str | None:
        """Return why a workspace cannot have its callers' keys, or None."""
        if not isinstance(value, Workspace):
            return None
        for digest in value.key_digests:
            owner = self.workspace_by_digest.get(digest)
            if owner is not None and owner.id != value.id:
                return "expected callers' keys that no other workspace has"
        return None

    def _record_result(self, record: RecordId, result: RecordResult) -> None:
        self.result_by_id[record] = result
        if len(self.result_by_id) > RESULTS_MAX:
            del self.result_by_id[next(iter(self.result_by_id))]

    def snapshot(self) -> Snapshot:
        """Return the complete state as a snapshot record."""
        ordered = tuple(self.by_key[key] for key in sorted(self.by_key))
        return Snapshot(new_record_id(), self.position, ordered)

    def digest(self) -> str:
        """Return a digest of all entries, to compare hosts."""
        entries = encode_json(self.snapshot().entries)
        return blake2b(entries, digest_size=DIGEST_BYTES).hexdigest()

    def version(self, key: EntryKey) -> Position:
        """Return the version that an edit of `key` must have as its base."""
        entry = self.by_key.get(key)
        return START if entry is None else entry.version

    def values(self, kind: type) -> list:
        """Return the current values of one kind, sorted by name."""
        by_name = self._value_by_name_by_kind.get(kind, {})
        return [by_name[name] for name in sorted(by_name)]

    def get(self, kind: type, name: str) -> object | None:
        """Return the value of one entry, or None."""
        return self._value_by_name_by_kind.get(kind, {}).get(name)


def check_references(configuration: Configuration) -> list[str]:
    """Return a message for each entry that refers to one that does not exist."""
    problems = []
    for event in configuration.values(Event):
        if configuration.get(Template, event.template) is None:
            problems.append(f"event/{event.id}: no template {event.template}")
        if configuration.get(Model, event.model) is None:
            problems.append(f"event/{event.id}: no model {event.model}")
    return problems
