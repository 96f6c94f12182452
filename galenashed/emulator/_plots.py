"""Plots of experiment results; needs matplotlib."""

import pathlib

import matplotlib.figure

from galenashed.emulator import _experiment


def plot_worth(results: list[_experiment.Result], path: pathlib.Path) -> None:
    """Plots the worth by second of arrival, with one line for each case."""
    figure = matplotlib.figure.Figure(figsize=(9, 5))
    axes = figure.add_subplot()
    for result in results:
        axes.plot(result.by_second, label=result.case)
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("worth, as a fraction of the highest possible")
    axes.set_ylim(0, 1.02)
    axes.legend()
    figure.savefig(path)
