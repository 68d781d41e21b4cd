"""Formats rows of text in aligned columns."""

from collections.abc import Iterable, Sequence

from jacinthcroft_config import replace_unprintable

Row = Sequence[object]

_COLUMN_SEPARATOR = '  '


def format_table(heading: Row, rows: Iterable[Row]) -> str:
    """Returns rows below a heading, each column as wide as its widest cell."""
    cells = [
        [replace_unprintable(str(cell)) for cell in row]
        for row in (heading, *rows)
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    )
    return '\n'.join(line.rstrip() for line in lines)
