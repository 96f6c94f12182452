"""Reaching the control replicas from an operator's command."""

import pathlib
import typing

import cyclopts

from galenashed.cli import _output
from galenashed.cli import _programs
from galenashed import config
from galenashed import control
from galenashed.protocol import rpc

STATUS_TIMEOUT_SECONDS = 2.0

ConfigPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name="--config")
]


def run(config_path: pathlib.Path, work) -> int:
    """Runs ``work(client)`` against the control replicas."""
    cfg = _output.take(
        config.load_settings(config_path, "operator"), str(config_path)
    )

    async def connected() -> int:
        client = control.ControlClient(
            replicas=cfg.replicas, key=cfg.operator_key
        )
        try:
            return await work(client)
        finally:
            await client.close()

    try:
        return _programs.run(connected())
    except control.ControlUnavailableError as exc:
        return _output.fail(str(exc))
    except rpc.RpcError as exc:
        return _output.fail(f"refused: {exc.details()}")
