"""Tests of decoding: any input gives a value or a failure, the same one wherever it is decoded."""

import json
import unittest
from collections.abc import Callable
from functools import partial
from typing import Any, Literal

import msgspec
from hypothesis import given, strategies

from ruddersaddle_base.codecs import (
    DETAIL_CHARS_MAX,
    NESTING_MAX,
    decode_json,
    decode_msgpack,
    encode_msgpack,
    is_nested_deeply,
)
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.tests.property_tests import DETERMINISTIC

FRAMES = 600
"""Frames of Python code above a decoder in the tests of deep stacks."""
TEXTS = strategies.text('ab"\\[]{}\n', max_size=20)
DOCUMENTS = strategies.recursive(
    strategies.none() | strategies.integers() | TEXTS,
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(TEXTS, children, max_size=4)
    ),
    max_leaves=100,
)


class Entry(msgspec.Struct):
    """A message; other fields are skipped."""

    name: str


def levels_of(value: Any) -> int:
    if isinstance(value, dict):
        return 1 + max(map(levels_of, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(levels_of, value), default=0)
    return 0


def wrap(value: Any, levels: int) -> Any:
    for number in range(levels):
        value = [value] if number % 2 else {"[": value}
    return value


def nested_entry(levels: int) -> bytes:
    """Return an entry with an unknown field, so that it has this many levels in all."""
    return b'{"name": "x", "more": ' + b"[" * (levels - 1) + b"]" * (levels - 1) + b"}"


def call_below(frames: int, function: Callable[[], Any]) -> Any:
    """Call a function with this many more frames on the stack."""
    return function() if frames == 0 else call_below(frames - 1, function)


def decode(data: bytes | str, kind: Any = Entry) -> Any:
    return decode_json(data, kind, Step.READ, "peer")


class NestingTest(unittest.TestCase):
    @DETERMINISTIC
    @given(DOCUMENTS, strategies.integers(0, 2 * NESTING_MAX), strategies.booleans())
    def test_levels_are_counted_outside_of_strings(
        self, document: Any, levels: int, is_ascii: bool
    ) -> None:
        document = wrap(document, levels)
        text = json.dumps(document, ensure_ascii=is_ascii)
        is_deep = levels_of(document) > NESTING_MAX
        self.assertEqual(is_nested_deeply(text), is_deep)
        self.assertEqual(is_nested_deeply(text.encode()), is_deep)

    def test_escaped_quotes_and_backslashes_do_not_end_a_string(self) -> None:
        many = "[" * 2 * NESTING_MAX
        for text in ('"', "\\", '\\"', '"\\', "\\\\", '\\\\"'):
            for document in ([text + many], {text + many: text}, [text, many, text]):
                with self.subTest(document=document):
                    self.assertFalse(is_nested_deeply(json.dumps(document)))

    def test_many_values_side_by_side_are_no_nesting(self) -> None:
        self.assertFalse(is_nested_deeply(json.dumps([[{}]] * 10_000)))

    def test_verdict_is_the_same_on_a_deep_stack(self) -> None:
        """Else one task uses a record that another one rejects."""
        for levels in (2, NESTING_MAX, NESTING_MAX + 1, 500, 900, 1000, 5000, 60_000):
            with self.subTest(levels=levels):
                decode_entry = partial(decode, nested_entry(levels))
                kinds = {type(call_below(frames, decode_entry)) for frames in (0, FRAMES)}
                self.assertEqual(kinds, {Entry if levels <= NESTING_MAX else Failure})

    def test_unclosed_brackets_are_a_failure(self) -> None:
        for data in (b"[" * 60_000, b'{"name": ' * 60_000, b'{"a":[' * 30_000, b"]" * 60_000):
            with self.subTest(data=data[:20]):
                self.assertIsInstance(decode(data), Failure)
                self.assertIsInstance(decode(data, Any), Failure)

    def test_nested_message_of_a_peer_is_a_failure(self) -> None:
        data = b"\x82\xa4name\xa1x\xa4more" + b"\x91" * 60_000 + b"\xc0"
        self.assertIsInstance(decode_msgpack(data, Entry, Step.PEER, "peer"), Failure)
        sound = encode_msgpack({"name": "x", "more": [[[1]]]})
        self.assertEqual(decode_msgpack(sound, Entry, Step.PEER, "peer"), Entry("x"))

    def test_text_on_a_long_invalid_value_is_short(self) -> None:
        """It goes into log lines and answers."""
        kind = Literal["a", "b"]
        for failure in (
            decode(json.dumps("x" * 100_000), kind),
            decode_msgpack(encode_msgpack("x" * 100_000), kind, Step.PEER, "peer"),
        ):
            self.assertLessEqual(len(failure.detail), DETAIL_CHARS_MAX)

    @DETERMINISTIC
    @given(strategies.binary(max_size=80))
    def test_any_bytes_give_a_value_or_a_failure(self, data: bytes) -> None:
        for kind in (Entry, Any, list[Entry]):
            decode(data, kind)
            decode_msgpack(data, kind, Step.PEER, "peer")


if __name__ == "__main__":
    unittest.main()
