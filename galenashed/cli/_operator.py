"""Commands by which operators publish notes and look at the fleet."""

import asyncio
import datetime
import pathlib
import time

import cyclopts

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import config
from galenashed import control
from galenashed.protocol import control as wire

NOTE = cyclopts.App(name="note", help="Checks and publishes release notes.")
BUDGET = cyclopts.App(name="budget", help="Shows budgets.")

POLL_SECONDS = 0.1


@NOTE.command(name="check")
def check_note(path: pathlib.Path) -> int:
    """Checks a release note and prints every fault with its place.

    Parameters
    ----------
    path
        The note, a TOML file.
    """
    note = _output.take(config.load_note(path), str(path))
    print(
        f"{path}: good note {note.number}, {control.compute_digest(note)[:12]}"
    )
    return _output.EXIT_OK


@NOTE.command(name="publish")
def publish_note(
    path: pathlib.Path,
    config_path: _clients.ConfigPath,
    wait: bool = False,
    timeout: float = 30.0,
) -> int:
    """Publishes a release note.

    A note that was sent before gets the same answer again, so a lost answer
    is resolved by asking again.

    Parameters
    ----------
    path
        The note, a TOML file.
    config_path
        Settings of the operator.
    wait
        Waits until the note is in force at every entry, and prints where it
        is not.
    timeout
        Seconds to wait for an answer, and again for the entries.
    """
    note = _output.take(config.load_note(path), str(path))
    command = wire.PublishNote(note=note, digest=control.compute_digest(note))

    async def publish(client: control.ControlClient) -> int:
        reply = await client.publish(command, timeout=timeout)
        if isinstance(reply, wire.Refused):
            for finding in reply.findings:
                print(f"{path}: {finding}")
            return _output.EXIT_BAD_INPUT
        assert isinstance(reply, wire.Done)
        print(f"note {note.number} is accepted at index {reply.index}")
        if not wait:
            return _output.EXIT_OK
        return await _wait_in_force(client, note.number, timeout)

    return _clients.run(config_path, publish)


async def _wait_in_force(client, number: int, timeout: float) -> int:
    deadline = time.monotonic() + timeout
    while True:
        missing = await _missing(client, number)
        if not missing:
            print(f"note {number} is in force everywhere")
            return _output.EXIT_OK
        if time.monotonic() > deadline:
            for line in missing:
                print(line)
            return _output.fail(f"note {number} is not in force everywhere")
        await asyncio.sleep(POLL_SECONDS)


async def _missing(client, number: int) -> list[str]:
    statuses = await client.statuses(timeout=_clients.STATUS_TIMEOUT_SECONDS)
    missing = [
        f"control {name}: no answer"
        for name, status in statuses.items()
        if status is None
    ]
    for follower in _followers(statuses).values():
        if follower.note < number:
            place = "connected" if follower.connected else "not connected"
            missing.append(
                f"entry {follower.name}: note {follower.note}, {place},"
                f" seen {follower.seen_ago:.1f} s ago"
            )
    return missing


def _followers(statuses) -> dict[str, wire.FollowerStatus]:
    """Returns the freshest word of each entry."""
    found: dict[str, wire.FollowerStatus] = {}
    for status in statuses.values():
        for follower in status.followers if status else []:
            held = found.get(follower.name)
            if held is None or _rank(follower) > _rank(held):
                found[follower.name] = follower
    return found


def _rank(follower: wire.FollowerStatus) -> tuple[bool, float]:
    return follower.connected, -follower.seen_ago


@NOTE.command(name="status")
def show_note_status(
    config_path: _clients.ConfigPath, json: bool = False
) -> int:
    """Shows which note each instance has in force.

    Parameters
    ----------
    config_path
        Settings of the operator.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        statuses = await client.statuses(
            timeout=_clients.STATUS_TIMEOUT_SECONDS
        )
        followers = list(_followers(statuses).values())
        if json:
            _output.print_json(followers)
            return _output.EXIT_OK
        rows = [
            [
                follower.name,
                str(follower.note),
                "yes" if follower.connected else "no",
                f"{follower.seen_ago:.1f}",
            ]
            for follower in sorted(followers, key=lambda f: f.name)
        ]
        headings = ["entry", "note", "connected", "seen (s ago)"]
        _output.print_rows(headings, rows)
        return _output.EXIT_OK

    return _clients.run(config_path, show)


@NOTE.command(name="history")
def show_note_history(
    config_path: _clients.ConfigPath, limit: int = 20, json: bool = False
) -> int:
    """Shows the notes that were published, accepted or refused.

    Parameters
    ----------
    config_path
        Settings of the operator.
    limit
        How many of the latest.
    json
        Prints JSON.
    """
    return _show_audit(config_path, "publish", "", limit, json)


@BUDGET.command(name="show")
def show_budgets(
    config_path: _clients.ConfigPath,
    budget: str = "",
    team: str = "",
    limit: int = 100,
    json: bool = False,
) -> int:
    """Shows what budgets stand at, in tokens.

    Parameters
    ----------
    config_path
        Settings of the operator.
    budget
        Only this budget.
    team
        Only the budgets of this team.
    limit
        How many.
    json
        Prints JSON.
    """
    query = wire.Query(kind="balance", subject=budget, team=team, limit=limit)

    async def show(client: control.ControlClient) -> int:
        reply = await client.query(query, timeout=5.0)
        if json:
            _output.print_json(reply.balances)
            return _output.EXIT_OK
        rows = [
            [
                balance.budget,
                balance.team,
                str(balance.prepaid),
                str(balance.settled),
                str(balance.outstanding),
                str(balance.unwitnessed),
                str(balance.free),
                str(balance.pending_cut),
            ]
            for balance in reply.balances
        ]
        _output.print_rows(
            [
                "budget",
                "team",
                "prepaid",
                "settled",
                "granted",
                "unwitnessed",
                "free",
                "pending cut",
            ],
            rows,
        )
        return _output.EXIT_OK

    return _clients.run(config_path, show)


def show_audit(
    config_path: _clients.ConfigPath,
    subject: str = "",
    limit: int = 50,
    json: bool = False,
) -> int:
    """Shows the audit trail: who changed what, when, with what result.

    Parameters
    ----------
    config_path
        Settings of the operator.
    subject
        Only changes of this subject, such as "note 7" or a budget's name.
    limit
        How many of the latest.
    json
        Prints JSON.
    """
    return _show_audit(config_path, "", subject, limit, json)


def _show_audit(config_path, action, subject, limit, json) -> int:
    query = wire.Query(kind="audit", subject=subject, limit=10**6)

    async def show(client: control.ControlClient) -> int:
        reply = await client.query(query, timeout=5.0)
        found = [r for r in reply.audit if action in ("", r.action)]
        found = found[-limit:]
        if json:
            _output.print_json(found)
            return _output.EXIT_OK
        rows = [
            [
                str(record.index),
                _format_time(record.at),
                record.actor,
                record.action,
                record.subject,
                record.digest[:12],
                record.result,
            ]
            for record in found
        ]
        _output.print_rows(
            ["index", "when", "who", "what", "of", "digest", "result"], rows
        )
        return _output.EXIT_OK

    return _clients.run(config_path, show)


def _format_time(at: float) -> str:
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def show_status(config_path: _clients.ConfigPath, json: bool = False) -> int:
    """Shows how the control replicas and the entries are doing.

    Parameters
    ----------
    config_path
        Settings of the operator.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        statuses = await client.statuses(
            timeout=_clients.STATUS_TIMEOUT_SECONDS
        )
        if json:
            _output.print_json(statuses)
        else:
            _print_statuses(statuses)
        if any(status is None for status in statuses.values()):
            return _output.EXIT_FAILED
        return _output.EXIT_OK

    return _clients.run(config_path, show)


def _print_statuses(statuses) -> None:
    rows = []
    for name, status in statuses.items():
        if status is None:
            rows.append([name, "no answer", "", "", "", "", ""])
            continue
        rows.append(
            [
                name,
                status.role,
                str(status.term),
                str(status.commit),
                str(status.note),
                f"{status.disk_bytes / 1024:.0f}",
                str(sum(f.connected for f in status.followers)),
            ]
        )
    headings = ["control", "role", "term", "commit", "note"]
    _output.print_rows([*headings, "disk (KiB)", "entries"], rows)
