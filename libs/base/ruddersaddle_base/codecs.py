"""Encoding and decoding of typed messages with `msgspec`."""

from array import array
from functools import cache
from itertools import accumulate
from typing import Any, TypeVar

import msgspec

from ruddersaddle_base.failures import Code, Failure, Step

T = TypeVar("T")

NESTING_MAX = 64
"""Most levels of arrays and objects in a JSON document. The decoder's own limit is what is left of
the interpreter's stack, so that tasks and hosts would decide differently on the same document."""
DETAIL_CHARS_MAX = 300
"""Longest text on an invalid document. The decoder quotes values, which may be of any length."""
_QUOTE = b'"'
_IGNORED_BYTES = bytes(set(range(256)) - set(b'"[]{}'))
_STEP_BY_BRACKET = bytes.maketrans(b"[{]}", b"\x01\x01\xff\xff")
"""Maps brackets to their change of the level, 1 or -1, as a signed byte."""


@cache
def _json_decoder(kind: Any) -> msgspec.json.Decoder:
    """Return a decoder that is created once: for a union of messages that takes 45 us."""
    return msgspec.json.Decoder(kind)


@cache
def _msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(kind)


def encode_json(value: object) -> bytes:
    """Return `value` as JSON."""
    return msgspec.json.encode(value)


def encode_json_text(value: object) -> str:
    """Return `value` as JSON text."""
    return msgspec.json.encode(value).decode()


def decode_json(data: bytes | str, kind: type[T], step: Step, peer: str) -> T | Failure:
    """Return JSON `data` as `kind`, or a failure that names the invalid field."""
    if is_nested_deeply(data):
        return Failure(Code.BAD_REQUEST, step, peer, f"more than {NESTING_MAX} levels of nesting")
    try:
        return _json_decoder(kind).decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(Code.BAD_REQUEST, step, peer, str(error)[:DETAIL_CHARS_MAX])


def is_nested_deeply(data: bytes | str) -> bool:
    """Return whether a JSON document has more than `NESTING_MAX` levels of nesting."""
    raw = data.encode(errors="surrogatepass") if isinstance(data, str) else data
    if raw.count(b"[") + raw.count(b"{") <= NESTING_MAX:
        return False
    # Without escaped backslashes, each backslash that is left escapes the character after it.
    unescaped = raw.replace(b"\\\\", b"").replace(b'\\"', b"")
    marks = unescaped.translate(_STEP_BY_BRACKET, _IGNORED_BYTES)
    # Between two quotes there is a string, so that every other piece lies outside of strings.
    steps = array("b", b"".join(marks.split(_QUOTE)[::2]))
    return max(accumulate(steps), default=0) > NESTING_MAX


def encode_msgpack(value: object) -> bytes:
    """Return `value` as MessagePack, for messages between hosts."""
    return msgspec.msgpack.encode(value)


def decode_msgpack(data: bytes | msgspec.Raw, kind: type[T], step: Step, peer: str) -> T | Failure:
    """Return MessagePack `data` as `kind`, or a failure.

    Its limit on nesting depends on the stack. Hosts send a few levels, and one that misses a
    message learns the same from a later answer, so that this divides no hosts for long.
    """
    try:
        return _msgpack_decoder(kind).decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(Code.CORRUPT, step, peer, str(error)[:DETAIL_CHARS_MAX])


def is_decimal_integer(text: str) -> bool:
    """Return whether text consists of ASCII decimal digits, which `int` accepts.

    `isdigit` alone also accepts superscript digits, which may occur in a header and which `int`
    rejects.
    """
    return text.isascii() and text.isdigit()
