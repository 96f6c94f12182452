"""Client of the control replicas for the operator commands."""

import pathlib
import typing

import cyclopts

from galenashed.cli import _output
from galenashed.cli import _runner
from galenashed import config
from galenashed import control
from galenashed.protocol import rpc

STATUS_TIMEOUT_SECONDS = 2.0

ConfigPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name="--config")
]


def run_with_client(config_path: pathlib.Path, operation) -> int:
    """Runs ``operation(client)`` with a client of the control replicas.

    Returns the exit code that the coroutine returns, or prints an error if
    the replicas are unavailable or reject the request.
    """
    cfg = _output.unwrap_or_exit(
        config.load_settings(config_path, "operator"), str(config_path)
    )

    async def run_command() -> int:
        client = control.ControlClient(
            replicas=cfg.replicas, key=cfg.operator_key
        )
        try:
            return await operation(client)
        finally:
            await client.close()

    try:
        return _runner.run(run_command())
    except control.ControlUnavailableError as exc:
        return _output.fail(str(exc))
    except rpc.RpcError as exc:
        return _output.fail(f"request rejected: {exc.details()}")
