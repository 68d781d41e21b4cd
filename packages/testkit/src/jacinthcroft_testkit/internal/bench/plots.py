"""Draws an experiment's figures: one bar for each system and metric.

Metrics of one unit share a panel, since bars of different units say nothing
beside each other. A line on each bar spans the repeats.
"""

import pathlib
from collections.abc import Sequence
from typing import Final

from matplotlib.axes import Axes
from matplotlib.figure import Figure as Canvas

from jacinthcroft_testkit.internal.bench.readings import Figure

_WIDTH_INCHES: Final = 9.0
_BAR_INCHES: Final = 0.22
_PANEL_MARGIN_INCHES: Final = 1.2
_BAR_SHARE: Final = 0.8


def draw(
    path: pathlib.Path,
    title: str,
    figures: Sequence[Figure],
) -> None:
    """Writes a PNG file of one experiment's figures."""
    units = list(dict.fromkeys(figure.unit for figure in figures))
    panels = [
        [figure for figure in figures if figure.unit == unit] for unit in units
    ]
    heights = [_height_of(panel) for panel in panels]
    canvas = Canvas(figsize=(_WIDTH_INCHES, sum(heights)), layout='tight')
    grid = canvas.add_gridspec(len(panels), height_ratios=heights)
    canvas.suptitle(title)
    for place, panel in enumerate(panels):
        _draw_panel(canvas.add_subplot(grid[place]), panel)
    canvas.savefig(path)


def _height_of(panel: Sequence[Figure]) -> float:
    return _PANEL_MARGIN_INCHES + _BAR_INCHES * len(panel)


def _draw_panel(axes: Axes, panel: Sequence[Figure]) -> None:
    metrics = list(dict.fromkeys(figure.metric for figure in panel))
    systems = list(dict.fromkeys(figure.system for figure in panel))
    height = _BAR_SHARE / len(systems)
    for number, system in enumerate(systems):
        bars = [figure for figure in panel if figure.system == system]
        axes.barh(
            [metrics.index(bar.metric) + number * height for bar in bars],
            [bar.median for bar in bars],
            height,
            xerr=[
                [bar.median - min(bar.values) for bar in bars],
                [max(bar.values) - bar.median for bar in bars],
            ],
            label=system,
        )
    middle = (_BAR_SHARE - height) / 2
    axes.set_yticks(
        [place + middle for place in range(len(metrics))],
        metrics,
    )
    axes.invert_yaxis()
    axes.set_xlabel(panel[0].unit)
    # Above the panel, where it hides no bar.
    axes.legend(
        loc='lower right',
        bbox_to_anchor=(1, 1),
        ncols=len(systems),
        frameon=False,
    )
