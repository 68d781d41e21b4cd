"""Declarations of the keys of a file's tables.

Each kind of file declares its keys once. `TableReader` checks files by these
declarations, and `describe_table` documents them.
"""

import difflib
import enum
from collections.abc import Iterable, Mapping
from typing import Any, get_args

import attrs

from jacinthcroft_config.internal.checkers import Checker, Problem, format_value
from jacinthcroft_config.internal.faults import FaultCollector


class NoDefault(enum.Enum):
    """Marks a key that has no default."""

    REQUIRED = 'required'


@attrs.frozen
class TableKey:
    """One key of a table; a key without a default must be written."""

    name: str
    checker: Checker
    description: str
    default: object = NoDefault.REQUIRED

    @property
    def is_required(self) -> bool:
        """Whether a file must contain the key."""
        return self.default is NoDefault.REQUIRED


def read_keys(cls: type[attrs.AttrsInstance]) -> tuple[TableKey, ...]:
    """Returns the keys that the fields of a class declare.

    Each field is `Annotated` with its checker and its description.
    """
    return tuple(
        _read_key_of_field(attribute) for attribute in attrs.fields(cls)
    )


def _read_key_of_field(attribute: 'attrs.Attribute[object]') -> TableKey:
    _, checker, description = get_args(attribute.type)
    default = attribute.default
    if default is attrs.NOTHING:
        return TableKey(attribute.name, checker, description)
    return TableKey(attribute.name, checker, description, default)


def join_key(prefix: str, name: str) -> str:
    """Returns the dotted name of a key below a prefix, which may be empty."""
    return f'{prefix}.{name}' if prefix else name


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Returns the remedy for an unknown name: the closest match, or all."""
    names = sorted(known)
    closest = difflib.get_close_matches(name, names, n=1)
    return f'write {closest[0]}' if closest else f'known are {", ".join(names)}'


def require_table(
    collector: FaultCollector, location: str, raw: object
) -> Mapping[str, object]:
    """Returns a table; for any other value reports a fault and returns `{}`."""
    if isinstance(raw, dict):
        return raw
    collector.report(
        location, f'{format_value(raw)} is not a table', 'write a table'
    )
    return {}


@attrs.frozen
class TableReader:
    """Checks tables against their declared keys and reports every fault.

    The returned tables leave out each key that has a fault, so they are
    complete only if `log` is still empty.
    """

    log: FaultCollector
    ignores_unknown: bool = False

    def read(
        self,
        location: str,
        raw: object,
        keys: tuple[TableKey, ...],
    ) -> dict[str, Any]:
        """Returns the valid values of one table by the names of their keys."""
        if not isinstance(raw, dict):
            require_table(self.log, location, raw)
            return {}
        if not self.ignores_unknown:
            self.report_unknown(location, raw, [key.name for key in keys])
        checked = {key.name: self._read_key(location, raw, key) for key in keys}
        return {
            name: outcome
            for name, outcome in checked.items()
            if not isinstance(outcome, Problem)
        }

    def report_unknown(
        self,
        location: str,
        names: Iterable[str],
        known: list[str],
    ) -> None:
        """Reports each unknown key and suggests a similar known one."""
        for name in names:
            if name in known:
                continue
            full_name = join_key(location, name)
            self.log.report(full_name, 'unknown key', suggest_name(name, known))

    def _read_key(
        self,
        location: str,
        raw: Mapping[str, object],
        key: TableKey,
    ) -> object:
        full_name = join_key(location, key.name)
        if key.name in raw:
            checked = key.checker.check(raw.get(key.name))
        elif key.is_required:
            checked = Problem('missing')
        else:
            return key.default
        if isinstance(checked, Problem):
            remedy = f'write {key.checker.expected}'
            self.log.report(full_name, checked.text, remedy)
        return checked


def describe_table(keys: tuple[TableKey, ...]) -> str:
    """Returns the keys as a Markdown table."""
    lines = ['| key | may be | default | meaning |', '|---|---|---|---|']
    lines.extend(_describe_key(key) for key in keys)
    return '\n'.join(lines)


def _describe_key(key: TableKey) -> str:
    default = (
        'must be written' if key.is_required else _format_default(key.default)
    )
    return (
        f'| `{key.name}` | {key.checker.expected} | {default} '
        f'| {key.description} |'
    )


def _format_default(default: object) -> str:
    if default is None:
        return 'none'
    if isinstance(default, enum.Enum):
        return f'`{default.value}`'
    return f'`{list(default) if isinstance(default, tuple) else default}`'
