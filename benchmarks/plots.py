"""Plots of measurements with fitted lines."""

from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ['plot_lines']

FIGURE_SIZE_INCHES = (5, 3)
DPI = 80


def plot_lines(path, title, x_label, y_label, lines):
    """Plot measurements with their fitted lines.

    Parameters
    ----------
    path : str or Path
        PNG file to write.
    title, x_label, y_label : str
        Title of the plot and labels of its axes.
    lines : dict of str to Line
        Lines by their name in the legend.
    """
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    for name, line in lines.items():
        x = [point[0] for point in line.points]
        y = [point[1] for point in line.points]
        [markers] = axes.plot(x, y, 'o', label=name)
        ends = [0, max(x)]
        axes.plot(
            ends,
            [line.predict(end) for end in ends],
            '-',
            color=markers.get_color(),
        )
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(Path(path), dpi=DPI)
    plt.close(figure)
