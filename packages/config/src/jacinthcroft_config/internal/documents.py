"""Parses the text of a file into raw tables, or reports faults.

The parsers of the standard library raise on invalid text; this module catches
their exceptions and reports them as faults.
"""

import json
import tomllib
from typing import Any

from jacinthcroft_config.internal.faults import FaultCollector

# The platform accepts only values below this size.
MAX_VALUE_BYTES = 1_000_000


def parse_toml(collector: FaultCollector, text: str) -> dict[str, Any]:
    """Returns the tables of a TOML text; empty if it is not valid TOML."""
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Besides syntax errors, these are raised for a number with too many
        # digits and for nesting that is too deep.
        collector.report('', f'not TOML: {error}', 'mend the syntax there')
    return {}


def parse_json(collector: FaultCollector, text: str) -> object:
    """Returns the value of a JSON text; None if it is not valid JSON."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        collector.report('', f'not JSON: {error}', 'publish valid JSON')
    return None


def report_size(collector: FaultCollector, text: str) -> None:
    """Reports a text that is too large to be published as one value."""
    size = len(text.encode('utf-8', 'surrogatepass'))
    if size >= MAX_VALUE_BYTES:
        collector.report(
            '',
            f'{size} bytes are too large for a published value',
            f'keep the file below {MAX_VALUE_BYTES} bytes',
        )
