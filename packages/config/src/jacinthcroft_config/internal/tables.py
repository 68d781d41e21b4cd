"""Tables of keys: what a file may say, checked and described in one place.

A file's module declares its keys once. The same declaration checks the file
(`TableReader`) and writes its documentation (`describe_table`).
"""

import difflib
import enum
from collections.abc import Iterable, Mapping
from typing import Any, get_args

import attrs

from jacinthcroft_config.internal.checkers import Checker, Problem, shown
from jacinthcroft_config.internal.faults import FaultCollector


class Absence(enum.Enum):
    """Stands for the default of a key that has none."""

    REQUIRED = 'required'


@attrs.frozen
class Key:
    """One key of a table; a key without a default must be written."""

    name: str
    checker: Checker
    description: str
    default: object = Absence.REQUIRED

    @property
    def is_required(self) -> bool:
        """Whether a file must say it."""
        return self.default is Absence.REQUIRED


def keys_of(cls: type[attrs.AttrsInstance]) -> tuple[Key, ...]:
    """Returns the keys that a class declares by its fields.

    Each field is `Annotated` with its checker and its description.
    """
    return tuple(_key_of(attribute) for attribute in attrs.fields(cls))


def _key_of(attribute: 'attrs.Attribute[object]') -> Key:
    _, checker, description = get_args(attribute.type)
    default = attribute.default
    if default is attrs.NOTHING:
        return Key(attribute.name, checker, description)
    return Key(attribute.name, checker, description, default)


def join_key(prefix: str, name: str) -> str:
    """Returns the full name of a key below a prefix, which may be empty."""
    return f'{prefix}.{name}' if prefix else name


def suggest(name: str, known: Iterable[str]) -> str:
    """Returns the remedy for an unknown name: the nearest known, or all."""
    names = sorted(known)
    near = difflib.get_close_matches(name, names, n=1)
    return f'write {near[0]}' if near else f'known are {", ".join(names)}'


def as_table(
    collector: FaultCollector, place: str, raw: object
) -> Mapping[str, object]:
    """Returns a raw value as a table; reports and empties anything else."""
    if isinstance(raw, dict):
        return raw
    collector.report(place, f'{shown(raw)} is not a table', 'write a table')
    return {}


@attrs.frozen
class TableReader:
    """Reads tables by their keys and reports what is wrong with them.

    The returned tables leave out each key that has a fault, so they are
    complete only if the collector is still empty.
    """

    collector: FaultCollector
    ignores_unknown: bool = False

    def read(
        self,
        place: str,
        raw: object,
        keys: tuple[Key, ...],
    ) -> dict[str, Any]:
        """Returns the checked values of one table by name."""
        if not isinstance(raw, dict):
            as_table(self.collector, place, raw)
            return {}
        if not self.ignores_unknown:
            self.report_unknown(place, raw, [key.name for key in keys])
        checked = {key.name: self._read_key(place, raw, key) for key in keys}
        return {
            name: found
            for name, found in checked.items()
            if not isinstance(found, Problem)
        }

    def report_unknown(
        self,
        place: str,
        written: Iterable[str],
        known: list[str],
    ) -> None:
        """Reports each written key that is not known, with its nearest kin."""
        for name in written:
            if name in known:
                continue
            full_name = join_key(place, name)
            self.collector.report(
                full_name, 'unknown key', suggest(name, known)
            )

    def _read_key(
        self,
        place: str,
        raw: Mapping[str, object],
        key: Key,
    ) -> object:
        full_name = join_key(place, key.name)
        if key.name in raw:
            checked = key.checker.check(raw.get(key.name))
        elif key.is_required:
            checked = Problem('missing')
        else:
            return key.default
        if isinstance(checked, Problem):
            remedy = f'write {key.checker.wanted}'
            self.collector.report(full_name, checked.text, remedy)
        return checked


def describe_table(keys: tuple[Key, ...]) -> str:
    """Returns the keys as a Markdown table."""
    lines = ['| key | may be | default | meaning |', '|---|---|---|---|']
    lines.extend(_describe_key(key) for key in keys)
    return '\n'.join(lines)


def _describe_key(key: Key) -> str:
    default = 'must be written' if key.is_required else _show(key.default)
    return (
        f'| `{key.name}` | {key.checker.wanted} | {default} '
        f'| {key.description} |'
    )


def _show(default: object) -> str:
    if default is None:
        return 'none'
    if isinstance(default, enum.Enum):
        return f'`{default.value}`'
    return f'`{list(default) if isinstance(default, tuple) else default}`'
