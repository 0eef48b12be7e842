"""Plots of losses in the terminal: by second and kind, and by server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from vaneturn_cli.losses import Loss, LossTable

if TYPE_CHECKING:
    from collections.abc import Sequence

PLOT_WIDTH: Final = 110  # characters
PLOT_HEIGHT: Final = 16  # lines of the plot by second
MAX_SERVERS: Final = 12
MARKS: Final = {
    Loss.FIRST_EVENT: "f",
    Loss.PAUSE: "p",
    Loss.BROKEN_OFF: "b",
    Loss.REFUSED: "r",
    Loss.FAILED: "x",
    Loss.CLIENT_LEFT: "l",
}


def plot_losses(table: LossTable) -> str:
    """Plot losses by second, one mark for each kind, and by the servers that they name.

    :raises ImportError: plotext is not installed; it comes with the extra ``plot``.
    """
    by_second = table.count_by_second()
    if not by_second:
        return "nothing was late or not served"
    seconds = sorted(by_second)
    kinds = [kind for kind in Loss if any(by_second[second][kind] for second in seconds)]
    legend = ", ".join(f"{MARKS[kind]} {kind.value}" for kind in kinds)
    heights = [[by_second[second][kind] for second in seconds] for kind in kinds]
    labels = [second[-8:] for second in seconds]
    parts = [f"late or not served, by second ({legend})", _draw(labels, heights, [MARKS[kind] for kind in kinds])]
    servers = table.servers.most_common(MAX_SERVERS)
    if servers:
        name_width = max(len(server) for server, _ in servers)
        highest_count = servers[0][1]
        parts.append("servers that they name, most first")
        parts += [
            f"{server:{name_width}} {count:6} {'#' * max(1, 60 * count // highest_count)}" for server, count in servers
        ]
    return "\n".join(parts)


def _draw(labels: Sequence[str], heights: Sequence[Sequence[int]], marks: Sequence[str]) -> str:
    import plotext  # noqa: PLC0415 # optional extra that only plots need

    figure = plotext.figure
    figure.clear()
    figure.plot_size(PLOT_WIDTH, PLOT_HEIGHT)
    figure.draw(figure.bar(list(labels), [list(row) for row in heights], stacked=True, marker=list(marks)))
    return str(plotext.uncolorize(str(figure.build()))).rstrip()


__all__ = ["plot_losses"]
