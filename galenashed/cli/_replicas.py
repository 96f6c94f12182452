"""Operator commands that change the set of control replicas."""

import asyncio
import getpass
import time

import cyclopts

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import control
from galenashed.protocol import control as wire

REPLICA = cyclopts.App(
    name="replica", help="Adds, removes and lists control replicas."
)

RETRY_DELAY_SECONDS = 0.2
ATTEMPT_TIMEOUT_SECONDS = 5.0
LEADER_WAIT_SECONDS = 5.0


@REPLICA.command(name="add")
def add_replica(
    name: str,
    address: str,
    config_path: _clients.ConfigPath,
    timeout: float = 120.0,
) -> int:
    """Adds a control replica that was started by ``control --join``.

    It joins as a non-voting learner and becomes a voter once it has caught
    up with the committed log.  An interrupted command can be repeated.

    Parameters
    ----------
    name
        Name of the replica, which no earlier replica may have had.
    address
        Its ip:port, as reached by the other replicas and the entries.
    config_path
        Operator settings, a TOML file.
    timeout
        Seconds within which it must catch up.
    """
    add = _make_command("add", name, address)
    promote = _make_command("promote", name)

    async def run(client: control.ControlClient) -> int:
        deadline = time.monotonic() + timeout
        exit_code = await _retry_until_done(client, add, deadline)
        if exit_code == _output.EXIT_OK:
            print(f"{name} was added as a learner")
            exit_code = await _retry_until_done(client, promote, deadline)
        if exit_code == _output.EXIT_OK:
            print(f"{name} is a voter now")
        return exit_code

    return _clients.run_with_client(config_path, run)


@REPLICA.command(name="remove")
def remove_replica(
    name: str, config_path: _clients.ConfigPath, timeout: float = 30.0
) -> int:
    """Removes a control replica, such as one that lost its disk.

    Parameters
    ----------
    name
        Name of the replica, which can't be used again.
    config_path
        Operator settings, a TOML file.
    timeout
        Seconds to retry for while the replica can't be removed.
    """
    command = _make_command("remove", name)

    async def run(client: control.ControlClient) -> int:
        exit_code = await _retry_until_done(
            client, command, time.monotonic() + timeout
        )
        if exit_code == _output.EXIT_OK:
            print(f"{name} was removed")
        return exit_code

    return _clients.run_with_client(config_path, run)


@REPLICA.command(name="list")
def list_replicas(config_path: _clients.ConfigPath, json: bool = False) -> int:
    """Lists the current control replicas, as known to the leader.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        members = await _fetch_members(client)
        if members is None:
            return _output.fail(
                "no control replica that answered is the leader"
            )
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
        _output.print_table(["replica", "address", "votes", "log index"], rows)
        return _output.EXIT_OK

    return _clients.run_with_client(config_path, show)


async def _fetch_members(client) -> list[wire.MemberStatus] | None:
    """Returns the members as known to the leader.

    Waits for a leader, which may not be among the replicas of the settings,
    and returns None after ``LEADER_WAIT_SECONDS``.
    """
    deadline = time.monotonic() + LEADER_WAIT_SECONDS
    while True:
        statuses = await client.statuses(
            timeout=_clients.STATUS_TIMEOUT_SECONDS
        )
        answered = [s for s in statuses.values() if s is not None]
        leaders = [s for s in answered if s.role == "leader"]
        if leaders:
            return max(leaders, key=lambda s: s.term).members
        if time.monotonic() > deadline:
            return None
        for status in answered:
            client.add_replicas(
                {m.name: m.address for m in status.members if not m.learner}
            )
        await asyncio.sleep(RETRY_DELAY_SECONDS)


def _make_command(action: str, name: str, address: str = ""):
    return wire.ChangeReplicas(
        action=action, name=name, address=address, actor=getpass.getuser()
    )


async def _retry_until_done(
    client, command: wire.ChangeReplicas, deadline
) -> int:
    """Retries a command until it is done or the deadline has passed.

    Prints the findings of the last attempt if the command was not done.
    Raises ControlUnavailableError if that got no answer.
    """
    while True:
        try:
            reply = await client.change_replicas(
                command, timeout=ATTEMPT_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            if time.monotonic() > deadline:
                raise
            continue
        if isinstance(reply, wire.Done):
            return _output.EXIT_OK
        if time.monotonic() > deadline:
            for finding in reply.findings:
                print(finding)
            return _output.EXIT_FAILED
        await asyncio.sleep(RETRY_DELAY_SECONDS)
