"""The ``emulate`` command."""

import pathlib
import sys
import typing

import cyclopts

from galenashed.cli import _output
from galenashed import emulator


def emulate(
    experiment: pathlib.Path,
    *,
    json: bool = False,
    plot: typing.Annotated[
        pathlib.Path | None, cyclopts.Parameter(name="--plot")
    ] = None,
) -> int:
    """Runs an experiment against emulated engines in simulated time.

    Parameters
    ----------
    experiment
        Experiment, a TOML file; see examples/experiments.
    json
        Prints JSON instead of a table.
    plot
        PNG file for a plot of the worth earned over time; needs matplotlib.
    """
    try:
        results = emulator.run_experiment(emulator.read_experiment(experiment))
    except emulator.ExperimentError as exc:
        print(exc, file=sys.stderr)
        return _output.EXIT_BAD_INPUT
    if json:
        _output.print_json(results)
    else:
        _output.print_table(*emulator.format_table(results))
    if plot is not None:
        # Imported here because only plots need matplotlib.
        from galenashed.emulator import _plots

        _plots.plot_worth(results, plot)
    return _output.EXIT_OK
