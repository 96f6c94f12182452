"""Commands that run stand-ins, simulated targets for trials."""

import pathlib
import typing

import cyclopts

from galenashed.cli import _output
from galenashed.cli import _runner
from galenashed import standins
from galenashed import telemetry

STANDIN = cyclopts.App(
    name="standin", help="Runs a stand-in, a simulated target for trials."
)

EntryAddresses = typing.Annotated[
    list[str], cyclopts.Parameter(name="--entry", negative="")
]
ModelNames = typing.Annotated[
    list[str], cyclopts.Parameter(name="--model", negative="")
]


@STANDIN.command(name="engine")
def run_engine(
    *,
    name: str,
    listen: str,
    entries: EntryAddresses,
    key_file: pathlib.Path,
    models: ModelNames,
    service: str = "engines",
    failure_domain: str = "local",
    announced_address: str = "",
    token_seconds: float = 0.01,
    prefill_seconds: float = 0.0,
    output_tokens: int = 32,
    max_running: int = 16,
    cached_prefixes: int = 64,
    resumes: bool = True,
    software_version: str = "",
) -> int:
    """Runs a simulated model engine.

    Parameters
    ----------
    name
        Name to announce to the entries.
    listen
        ip:port to listen on.
    entries
        ip:port of an entry to announce to; may be repeated.
    key_file
        File with the key that targets authenticate with.
    models
        Name of a model to serve; may be repeated.
    service
        Name of the service that the target belongs to.
    failure_domain
        Failure domain to announce.
    announced_address
        ip:port to announce, if it differs from the one to listen on.
    token_seconds
        Seconds between tokens.
    prefill_seconds
        Seconds to prefill one prompt token that is not cached.
    output_tokens
        Output tokens of a response, unless the request asks for fewer.
    max_running
        Maximum number of requests that run at once.
    cached_prefixes
        Maximum number of prompt prefixes in the cache.
    resumes
        Whether to announce that streams can be resumed.
    software_version
        Version of the software to announce.
    """
    options = standins.EngineOptions(
        token_seconds=token_seconds,
        prefill_seconds=prefill_seconds,
        output_tokens=output_tokens,
        max_running=max_running,
        cached_prefixes=cached_prefixes,
        resumes=resumes,
        software_version=software_version,
    )
    return _run_standin(
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
    entries: EntryAddresses,
    key_file: pathlib.Path,
    service: str = "echo",
    failure_domain: str = "local",
    announced_address: str = "",
) -> int:
    """Runs a simulated plain service, which echoes each call.

    Parameters
    ----------
    name
        Name to announce to the entries.
    listen
        ip:port to listen on.
    entries
        ip:port of an entry to announce to; may be repeated.
    key_file
        File with the key that targets authenticate with.
    service
        Name of the service that the target belongs to.
    failure_domain
        Failure domain to announce.
    announced_address
        ip:port to announce, if it differs from the one to listen on.
    """
    return _run_standin(
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


def _run_standin(
    make_standin, *, key_file, listen, name, **server_options
) -> int:
    key = key_file.read_text(encoding="utf-8").strip()
    telemetry.configure_logging(level="INFO", format="human", instance=name)
    _runner.run_daemon(
        lambda: standins.StandinServer(
            standin=make_standin(),
            name=name,
            address=listen,
            key=key,
            **server_options,
        )
    )
    return _output.EXIT_OK
