"""Operator commands that publish release notes and show the state."""

import asyncio
import pathlib
import time

import cyclopts

from galenashed.cli import _check
from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import config
from galenashed import control
from galenashed.protocol import control as wire

NOTE = cyclopts.App(name="note", help="Checks and publishes release notes.")
BUDGET = cyclopts.App(name="budget", help="Shows the balances of budgets.")

POLL_SECONDS = 0.1


NOTE.command(_check.check_note, name="check")


@NOTE.command(name="publish")
def publish_note(
    path: pathlib.Path,
    config_path: _clients.ConfigPath,
    wait: bool = False,
    timeout: float = 30.0,
) -> int:
    """Publishes a release note.

    Publishing is idempotent: if the answer is lost, publish the same note
    again to get it.

    Parameters
    ----------
    path
        Release note, a TOML file.
    config_path
        Operator settings, a TOML file.
    wait
        Waits until the note is in force at every entry.  After the timeout,
        prints the entries where it is not, and the control replicas that did
        not answer.
    timeout
        Seconds to wait for the reply and, with --wait, as long again for
        the entries.
    """
    note = _output.unwrap_or_exit(config.load_note(path), str(path))
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
        return await _wait_until_in_force(client, note.number, timeout)

    return _clients.run_with_client(config_path, publish)


async def _wait_until_in_force(client, number: int, timeout: float) -> int:
    deadline = time.monotonic() + timeout
    while True:
        missing = await _describe_missing_instances(client, number)
        if not missing:
            print(f"note {number} is in force everywhere")
            return _output.EXIT_OK
        if time.monotonic() > deadline:
            for line in missing:
                print(line)
            return _output.fail(f"note {number} is not in force everywhere")
        await asyncio.sleep(POLL_SECONDS)


async def _describe_missing_instances(client, number: int) -> list[str]:
    """Returns one line per entry without the note and per silent replica."""
    statuses = await client.statuses(timeout=_clients.STATUS_TIMEOUT_SECONDS)
    missing = [
        f"control {name}: no answer"
        for name, status in statuses.items()
        if status is None
    ]
    for follower in _latest_follower_statuses(statuses).values():
        if follower.note < number:
            connection = "connected" if follower.connected else "not connected"
            missing.append(
                f"entry {follower.name}: note {follower.note}, {connection},"
                f" seen {follower.seen_ago:.1f} s ago"
            )
    return missing


def _latest_follower_statuses(statuses) -> dict[str, wire.FollowerStatus]:
    """Returns the latest status of each entry from all replicas."""
    latest: dict[str, wire.FollowerStatus] = {}
    for status in statuses.values():
        for follower in status.followers if status else []:
            known = latest.get(follower.name)
            if known is None or _freshness(follower) > _freshness(known):
                latest[follower.name] = follower
    return latest


def _freshness(follower: wire.FollowerStatus) -> tuple[bool, float]:
    return follower.connected, -follower.seen_ago


@NOTE.command(name="status")
def show_note_status(
    config_path: _clients.ConfigPath, json: bool = False
) -> int:
    """Shows the number of the note in force at each entry.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    json
        Prints JSON.
    """

    async def show(client: control.ControlClient) -> int:
        statuses = await client.statuses(
            timeout=_clients.STATUS_TIMEOUT_SECONDS
        )
        followers = list(_latest_follower_statuses(statuses).values())
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
        headings = ["entry", "note", "connected", "last seen (s ago)"]
        _output.print_table(headings, rows)
        return _output.EXIT_OK

    return _clients.run_with_client(config_path, show)


@NOTE.command(name="history")
def show_note_history(
    config_path: _clients.ConfigPath, limit: int = 20, json: bool = False
) -> int:
    """Shows the published notes, both accepted and refused ones.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    limit
        Maximum number of records, the latest ones.
    json
        Prints JSON.
    """
    return _show_audit_records(config_path, "publish", "", limit, json)


@BUDGET.command(name="show")
def show_budgets(
    config_path: _clients.ConfigPath,
    budget: str = "",
    team: str = "",
    limit: int = 100,
    json: bool = False,
) -> int:
    """Shows the balances of budgets, in tokens.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    budget
        Shows only this budget.
    team
        Shows only the budgets of this team.
    limit
        Maximum number of budgets.
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
        _output.print_table(
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

    return _clients.run_with_client(config_path, show)


def show_audit(
    config_path: _clients.ConfigPath,
    subject: str = "",
    limit: int = 50,
    json: bool = False,
) -> int:
    """Shows the audit trail: who changed what, when and the result.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
    subject
        Shows only changes of this subject, such as "note 7" or a budget.
    limit
        Maximum number of records, the latest ones.
    json
        Prints JSON.
    """
    return _show_audit_records(config_path, "", subject, limit, json)


def _show_audit_records(config_path, action, subject, limit, json) -> int:
    query = wire.Query(kind="audit", subject=subject, limit=10**6)

    async def show(client: control.ControlClient) -> int:
        reply = await client.query(query, timeout=5.0)
        records = [r for r in reply.audit if action in ("", r.action)]
        records = records[-limit:]
        if json:
            _output.print_json(records)
            return _output.EXIT_OK
        rows = [
            [
                str(record.index),
                _output.format_time(record.at),
                record.actor,
                record.action,
                record.subject,
                record.digest[:12],
                record.result,
            ]
            for record in records
        ]
        _output.print_table(
            [
                "index",
                "time",
                "actor",
                "action",
                "subject",
                "digest",
                "result",
            ],
            rows,
        )
        return _output.EXIT_OK

    return _clients.run_with_client(config_path, show)


def show_status(config_path: _clients.ConfigPath, json: bool = False) -> int:
    """Shows the status of the control replicas and their entries.

    Parameters
    ----------
    config_path
        Operator settings, a TOML file.
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

    return _clients.run_with_client(config_path, show)


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
    _output.print_table([*headings, "disk (KiB)", "entries"], rows)
