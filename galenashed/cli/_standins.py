"""Commands that run stand-ins of targets."""

import pathlib
import typing

import cyclopts

from galenashed.cli import _output
from galenashed.cli import _programs
from galenashed import standins
from galenashed import telemetry

STANDIN = cyclopts.App(
    name="standin", help="Runs a stand-in of a target, for trying things."
)

Entries = typing.Annotated[
    list[str], cyclopts.Parameter(name="--entry", negative="")
]
Models = typing.Annotated[
    list[str], cyclopts.Parameter(name="--model", negative="")
]


@STANDIN.command(name="engine")
def run_engine(
    *,
    name: str,
    listen: str,
    entries: Entries,
    key_file: pathlib.Path,
    models: Models,
    service: str = "engines",
    failure_domain: str = "local",
    announced_address: str = "",
    token_seconds: float = 0.01,
    prefill_seconds: float = 0.0,
    output_tokens: int = 32,
    max_running: int = 16,
    cached_prefixes: int = 64,
    resumes: bool = True,
) -> int:
    """Runs a stand-in of a model engine.

    Parameters
    ----------
    name
        Name that it announces.
    listen
        ip:port to serve on.
    entries
        ip:port of an entry to announce to; may be given several times.
    key_file
        File with the targets' key.
    models
        Model that it serves; may be given several times.
    service
        Service that it belongs to.
    failure_domain
        Failure domain that it announces.
    announced_address
        ip:port that entries are told, if it differs from where it listens.
    token_seconds
        Seconds between tokens.
    prefill_seconds
        Seconds to read one prompt token that is not cached.
    output_tokens
        Tokens of an answer.
    max_running
        Requests that run at once.
    cached_prefixes
        Prompt prefixes that fit the cache.
    resumes
        Whether a stream can be resumed.
    """
    options = standins.EngineOptions(
        token_seconds=token_seconds,
        prefill_seconds=prefill_seconds,
        output_tokens=output_tokens,
        max_running=max_running,
        cached_prefixes=cached_prefixes,
        resumes=resumes,
    )
    return _run(
        lambda: standins.StandinEngine(options=options),
        name=name,
        listen=listen,
        entries=entries,
        key_file=key_file,
        models=models,
        service=service,
        failure_domain=failure_domain,
        announced_address=announced_address,
    )


@STANDIN.command(name="service")
def run_service(
    *,
    name: str,
    listen: str,
    entries: Entries,
    key_file: pathlib.Path,
    service: str = "echo",
    failure_domain: str = "local",
    announced_address: str = "",
) -> int:
    """Runs a stand-in of a plain service, which echoes each call.

    Parameters
    ----------
    name
        Name that it announces.
    listen
        ip:port to serve on.
    entries
        ip:port of an entry to announce to; may be given several times.
    key_file
        File with the targets' key.
    service
        Service that it belongs to.
    failure_domain
        Failure domain that it announces.
    announced_address
        ip:port that entries are told, if it differs from where it listens.
    """
    return _run(
        standins.StandinService,
        name=name,
        listen=listen,
        entries=entries,
        key_file=key_file,
        models=[],
        service=service,
        failure_domain=failure_domain,
        announced_address=announced_address,
    )


def _run(make, *, key_file, listen, name, **fields) -> int:
    key = key_file.read_text(encoding="utf-8").strip()
    telemetry.configure_logging(level="INFO", format="human", instance=name)
    _programs.run_daemon(
        lambda: standins.StandinServer(
            standin=make(), name=name, address=listen, key=key, **fields
        )
    )
    return _output.EXIT_OK
