"""Operator commands that evacuate failure domains."""

import getpass

import cyclopts

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import control
from galenashed.protocol import control as wire

EVACUATION = cyclopts.App(
    name="evacuation",
    help="Evacuates failure domains: their targets get no requests.",
)

QUERY_TIMEOUT_SECONDS = 5.0


@EVACUATION.command(name="begin")
def begin_evacuation(
    domain: str, config_path: _clients.ConfigPath, timeout: float = 5.0
) -> int:
    """Orders that no request is sent to the targets of a failure domain.

    An order whose answer is lost can be sent again.

    Parameters
    ----------
    domain
        Name of the failure domain.
    config_path
        Operator settings, a TOML file.
    timeout
        Seconds to wait until the order is durable.
    """
    return _send(domain, config_path, timeout, active=True)


@EVACUATION.command(name="end")
def end_evacuation(
    domain: str, config_path: _clients.ConfigPath, timeout: float = 5.0
) -> int:
    """Revokes the order to evacuate a failure domain.

    Parameters
    ----------
    domain
        Name of the failure domain.
    config_path
        Operator settings, a TOML file.
    timeout
        Seconds to wait until the order is durable.
    """
    return _send(domain, config_path, timeout, active=False)


def _send(domain: str, config_path, timeout: float, *, active: bool) -> int:
    order = wire.EvacuationOrder(
        domain=domain, active=active, actor=getpass.getuser()
    )

    async def run(client: control.ControlClient) -> int:
        statuses = await client.statuses(
            timeout=_clients.STATUS_TIMEOUT_SECONDS
        )
        old = control.find_old_build(statuses)
        if old is not None:
            return _output.fail(
                f"{old} runs a build that does not know evacuations;"
                " nothing was ordered"
            )
        reply = await client.order_evacuation(order, timeout=timeout)
        if isinstance(reply, wire.Refused):
            for finding in reply.findings:
                print(finding)
            return _output.EXIT_BAD_INPUT
        print(f"{domain} is {'evacuated' if active else 'not evacuated'} now")
        return _output.EXIT_OK

    return _clients.run_with_client(config_path, run)


@EVACUATION.command(name="list")
def list_evacuations(
    config_path: _clients.ConfigPath, json: bool = False
) -> int:
    """Lists the evacuated failure domains, since when and by whom.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        reply = await client.query(
            wire.Query(kind="evacuations"), timeout=QUERY_TIMEOUT_SECONDS
        )
        if json:
            _output.print_json(reply.evacuations)
            return _output.EXIT_OK
        rows = [
            [
                evacuation.domain,
                _output.format_time(evacuation.at),
                evacuation.actor,
                str(evacuation.index),
            ]
            for evacuation in reply.evacuations
        ]
        _output.print_table(["domain", "since", "by", "log index"], rows)
        return _output.EXIT_OK

    return _clients.run_with_client(config_path, show)
