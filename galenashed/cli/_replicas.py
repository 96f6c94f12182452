"""Commands by which operators change the control replicas."""

import asyncio
import getpass
import time

import cyclopts

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import control
from galenashed.protocol import control as wire

REPLICA = cyclopts.App(name="replica", help="Changes the control replicas.")

POLL_SECONDS = 0.2
ATTEMPT_SECONDS = 5.0


@REPLICA.command(name="add")
def add_replica(
    name: str,
    address: str,
    config_path: _clients.ConfigPath,
    timeout: float = 120.0,
) -> int:
    """Adds a control replica that was started by ``control --join``.

    It follows without a vote until it holds all that is committed, and
    votes then.  A command that was broken off may be given again.

    Parameters
    ----------
    name
        Its name, which must never have taken part.
    address
        Its ip:port, as the other replicas and the entries reach it.
    config_path
        Settings of the operator.
    timeout
        Seconds until it must have caught up.
    """
    add = _command("add", name, address)
    promote = _command("promote", name)

    async def run(client: control.ControlClient) -> int:
        deadline = time.monotonic() + timeout
        code = await _insist(client, add, deadline)
        if code == _output.EXIT_OK:
            print(f"{name} follows without a vote")
            code = await _insist(client, promote, deadline)
        if code == _output.EXIT_OK:
            print(f"{name} votes")
        return code

    return _clients.run(config_path, run)


@REPLICA.command(name="remove")
def remove_replica(
    name: str, config_path: _clients.ConfigPath, timeout: float = 30.0
) -> int:
    """Removes a control replica, such as one that lost its disk.

    Parameters
    ----------
    name
        Its name, which can't be used again.
    config_path
        Settings of the operator.
    timeout
        Seconds to ask again while that can't be done.
    """
    command = _command("remove", name)

    async def run(client: control.ControlClient) -> int:
        code = await _insist(client, command, time.monotonic() + timeout)
        if code == _output.EXIT_OK:
            print(f"{name} takes part no more")
        return code

    return _clients.run(config_path, run)


@REPLICA.command(name="list")
def list_replicas(config_path: _clients.ConfigPath, json: bool = False) -> int:
    """Shows the control replicas that take part, as the leader has them.

    Parameters
    ----------
    config_path
        Settings of the operator.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        timeout = _clients.STATUS_TIMEOUT_SECONDS
        statuses = await client.statuses(timeout=timeout)
        leaders = [s for s in statuses.values() if s and s.role == "leader"]
        if not leaders:
            return _output.fail("no replica that answers leads")
        members = max(leaders, key=lambda s: s.term).members
        if json:
            _output.print_json(members)
            return _output.EXIT_OK
        rows = [
            [
                member.name,
                member.address,
                "no" if member.learner else "yes",
                "" if member.held is None else str(member.held),
            ]
            for member in members
        ]
        _output.print_rows(["replica", "address", "votes", "holds"], rows)
        return _output.EXIT_OK

    return _clients.run(config_path, show)


def _command(action: str, name: str, address: str = ""):
    return wire.ChangeReplicas(
        action=action, name=name, address=address, actor=getpass.getuser()
    )


async def _insist(client, command: wire.ChangeReplicas, deadline) -> int:
    """Sends a command until it is done; prints why it is not."""
    while True:
        reply = await client.change_replicas(command, timeout=ATTEMPT_SECONDS)
        if isinstance(reply, wire.Done):
            return _output.EXIT_OK
        if time.monotonic() > deadline:
            for finding in reply.findings:
                print(finding)
            return _output.EXIT_FAILED
        await asyncio.sleep(POLL_SECONDS)
