"""Configuration files of operators: INI, with one section for each entry.

A section is `[kind:id]`. Lists are separated by commas. An upstream is `id@IP:port@hall`, a path
rule is `prefix once` or `prefix repeat`. A section with `delete = yes` deletes its entry.
"""

import configparser
from pathlib import Path

import msgspec
from ruddersaddle_base.settings import Problem, find_line, suggest
from ruddersaddle_state.entries import (
    TYPE_BY_KIND,
    EntryKey,
    PathRule,
    Upstream,
    Value,
    check_value,
    entry_key,
)

LIST_FIELDS = frozenset({"key_digests", "adapters", "parameters"})
ONCE = "once"
REPEAT = "repeat"
DELETE = "delete"
ARGUMENT_PREFIX = "argument."


class DesiredEntry(msgspec.Struct, frozen=True):
    """The desired value of one entry; None deletes the entry."""

    key: EntryKey
    value: Value | None


def read_published(path: str) -> list[DesiredEntry] | list[Problem]:
    """Return the entries of a file, or all problems with their lines."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        sentence = " ".join(str(error).split())
        return [Problem(path, getattr(error, "lineno", 0) or 0, "file", sentence)]
    wanted: list[DesiredEntry] = []
    problems: list[Problem] = []
    for section in parser.sections():
        found = _read_section(path, text, section, dict(parser.items(section)))
        if isinstance(found, Problem):
            problems.append(found)
        else:
            wanted.append(found)
    return problems or wanted


def _read_section(
    path: str, text: str, section: str, items: dict[str, str]
) -> DesiredEntry | Problem:
    kind, _, name = section.partition(":")
    line = _section_line(text, section)
    if kind not in TYPE_BY_KIND:
        return Problem(path, line, section, f"[kind:id]; {suggest(kind, TYPE_BY_KIND)}")
    if items.get(DELETE) == "yes":
        return DesiredEntry(EntryKey(f"{kind}/{name}"), None)
    value_type = TYPE_BY_KIND[kind]
    known = value_type.__struct_fields__
    for key in items:
        base = "arguments" if key.startswith(ARGUMENT_PREFIX) else key
        if base not in known or base == "id":
            place = find_line(text, section, key)
            return Problem(path, place, f"{section}.{key}", suggest(key, known))
    try:
        fields = {"id": name, **_convert_items(items)}
        value = msgspec.convert(fields, value_type, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        return Problem(path, line, section, str(error))
    wrong = check_value(value)
    return Problem(path, line, section, wrong) if wrong else DesiredEntry(entry_key(value), value)


def _section_line(text: str, section: str) -> int:
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() == f"[{section}]":
            return number
    return 0


def _convert_items(items: dict[str, str]) -> dict[str, object]:
    fields: dict[str, object] = {}
    arguments: dict[str, str] = {}
    for key, text in items.items():
        if key.startswith(ARGUMENT_PREFIX):
            arguments[key.removeprefix(ARGUMENT_PREFIX)] = text
        else:
            fields[key] = _convert_item(key, text)
    if arguments:
        fields["arguments"] = arguments
    return fields


def _convert_item(key: str, text: str) -> object:
    if key in LIST_FIELDS:
        return tuple(_split(text))
    match key:
        case "upstreams":
            return tuple(_read_upstream(part) for part in _split(text))
        case "paths":
            return tuple(_read_rule(part) for part in _split(text))
        case "checks_fences":
            return text.lower() in ("yes", "true", "1")
    return text


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _read_upstream(text: str) -> Upstream:
    parts = text.split("@")
    if len(parts) != 3:
        raise ValueError(f"upstreams: expected id@IP:port@hall, got {text!r}")
    return Upstream(*parts)


def _read_rule(text: str) -> PathRule:
    prefix, _, word = text.partition(" ")
    if not prefix.startswith("/") or word.strip() not in (ONCE, REPEAT):
        raise ValueError(f"paths: expected '/prefix once' or '/prefix repeat', got {text!r}")
    return PathRule(prefix, word.strip() == REPEAT)


def format_published(values: list[Value]) -> str:
    """Return values as the text of a configuration file."""
    return "\n".join(_format_value(value) for value in values)


def _format_value(value: Value) -> str:
    lines = [f"[{entry_key(value).replace('/', ':', 1)}]"]
    for name in value.__struct_fields__:
        found = getattr(value, name)
        if name == "arguments":
            lines += [f"{ARGUMENT_PREFIX}{key} = {text}" for key, text in found.items()]
        elif name != "id" and found not in ("", ()):
            lines.append(f"{name} = {_format_item(found)}")
    return "\n".join(lines) + "\n"


def _format_item(found: object) -> str:
    match found:
        case bool():
            return "yes" if found else "no"
        case tuple():
            return ", ".join(_format_part(part) for part in found)
    text = str(getattr(found, "value", found))
    return text.replace("\n", "\n    ")


def _format_part(part: object) -> str:
    match part:
        case Upstream():
            return f"{part.id}@{part.address}@{part.hall}"
        case PathRule():
            return f"{part.prefix} {REPEAT if part.repeatable else ONCE}"
    return str(part)
