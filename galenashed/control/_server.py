"""Server of one control replica, run as a set of asyncio tasks."""

import asyncio
import random
import time
import typing

import grpc
import msgspec

from galenashed import consensus
from galenashed.control import _evacuations
from galenashed.control import _feed
from galenashed.control import _links
from galenashed.control import _notes
from galenashed.control import _replicas
from galenashed.control import _state_machine
from galenashed.control import _versions
from galenashed.protocol import consensus as consensus_wire
from galenashed.protocol import control as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import streams


Succeeding = typing.Callable[[wire.SucceedHolder], typing.Awaitable[None]]

OPERATOR_COMMANDS = (wire.PublishNote, wire.ChangeReplicas)


class ControlServer:
    """Runs one control replica: its consensus node and its RPC server.

    Parameters
    ----------
    name : str
        The replica's name, a key of ``replicas``.
    address : str
        ``ip:port`` to listen on.
    replicas : dict
        Name to address of the replicas as reached from this one, itself
        included; the addresses of other members are taken from the log.
    storage : galenashed.consensus.Storage
        The data directory, created by ``Storage.create``.
    peer_key : str
        Key presented to the other replicas.
    key_hashes : dict
        SHA-256 of the key of each role, ``peer`` and ``operator``.
    rng : random.Random
        Source of the random election timeouts.
    election_timeout, heartbeat : float
        Seconds; see :class:`galenashed.consensus.Node`.
    versions : VersionRecords or None
        The versions of targets' software; None for a replica that keeps no
        records of them.
    max_connections : int
        Connections of other instances and of operators that may be open.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        replicas: dict[str, str],
        storage: consensus.Storage,
        peer_key: str,
        key_hashes: dict[str, str],
        rng: random.Random,
        snapshot_every: int = 10_000,
        election_timeout: float = 0.5,
        heartbeat: float = 0.1,
        versions: _versions.VersionRecords | None = None,
        max_connections: int = rpc.MAX_CONNECTIONS,
    ):
        self.name = name
        self.replicas = replicas
        self.storage = storage
        self.versions = versions
        # Called on the leader before a holder succeeds those at its place.
        self.before_succession: Succeeding | None = None
        self.state_machine = _state_machine.ControlStateMachine()
        self.failed: asyncio.Future = (
            asyncio.get_running_loop().create_future()
        )
        self._links = _links.PeerLinks(
            name=name, addresses=replicas, key=peer_key
        )
        self.node = consensus.Node(
            name=name,
            storage=storage,
            state_machine=self.state_machine,
            transport=self._links,
            rng=rng,
            election_timeout=election_timeout,
            heartbeat=heartbeat,
            snapshot_every=snapshot_every,
            on_failure=self._on_failure,
        )
        self._feed = _feed.Feed(
            state_machine=self.state_machine,
            contact_age=self.node.contact_age,
            addresses=self._voter_addresses,
        )
        self._server = rpc.Server(
            address=address,
            keys=key_hashes,
            handlers=[
                (methods.DELIVER, self._deliver),
                (methods.PROPOSE, self._propose),
                (methods.PUBLISH, self._publish),
                (methods.REPLICAS, self._change_replicas),
                (methods.EVACUATE, self._evacuate),
                (methods.FOLLOW, self._feed.serve),
                (methods.QUERY, self._query),
                (methods.STATUS, self._status),
                *self._version_handlers(),
            ],
            max_connections=max_connections,
        )

    def _version_handlers(self) -> list[tuple[rpc.Method, typing.Any]]:
        versions = self.versions
        if versions is None:
            return []

        async def record(items, context) -> bool:
            await versions.record(items)
            return True

        async def find(query, context) -> streams.VersionReply:
            return versions.find(query.service, query.max_age)

        return [
            (methods.RECORD_VERSIONS, record),
            (methods.FIND_VERSIONS, find),
        ]

    async def start(self) -> None:
        """Restores the state and starts serving."""
        await self.node.start()
        await self._server.start()

    async def wait_for_failure(self) -> None:
        """Waits until a storage error stops the replica and raises it."""
        await self.failed

    async def drain(self) -> None:
        """Stops the replica; acknowledged commands are not lost."""
        await self.close()

    async def close(self) -> None:
        """Stops serving and closes the storage."""
        await self._server.close()
        await self._links.close()
        await self.node.close()

    @property
    def port(self) -> int:
        return self._server.port

    def _on_failure(self, exc: Exception) -> None:
        if not self.failed.done():
            self.failed.set_exception(exc)

    async def _deliver(self, requests, context) -> bool:
        sender = ""
        try:
            async for messages in requests:
                sender = messages[-1].sender
                if isinstance(messages[0], consensus_wire.Hello):
                    self._links.record_address(messages.pop(0))
                self.node.deliver(messages)
        finally:
            self.node.report_unreachable(sender)
        return True

    async def _propose(self, commands, context) -> list[wire.Outcome]:
        for command in commands:
            if isinstance(command, OPERATOR_COMMANDS):
                await context.abort(
                    grpc.StatusCode.PERMISSION_DENIED,
                    "only operators may send this",
                )
        tasks = [
            self._succeed(command)
            if isinstance(command, wire.SucceedHolder)
            else self._commit(command)
            for command in commands
        ]
        return await asyncio.gather(*tasks)

    async def _succeed(self, command: wire.SucceedHolder) -> wire.Outcome:
        if self.before_succession is not None and self.node.is_leader:
            await self.before_succession(command)
        return await self._commit(command)

    async def _publish(self, command, context) -> wire.Outcome:
        if command.digest != _notes.compute_digest(command.note):
            findings = ["the digest does not match the note"]
            return wire.Outcome(reply=wire.Refused(findings=findings))
        return await self._commit(command)

    async def _change_replicas(self, command, context) -> wire.Outcome:
        return await self._apply_membership_change(command)

    async def _evacuate(self, order, context) -> wire.Outcome:
        error = _evacuations.find_error(order)
        if error is not None:
            return wire.Outcome(reply=wire.Refused(findings=[error]))
        return await self._commit(wire.Barrier(evacuation=order))

    async def change_replicas(
        self, command: wire.ChangeReplicas
    ) -> wire.Reply | None:
        """Changes the membership; returns None if this is not the leader."""
        return (await self._apply_membership_change(command)).reply

    async def _apply_membership_change(
        self, command: wire.ChangeReplicas
    ) -> wire.Outcome:
        if self.node.is_leader and _replicas.is_applied(
            self.node.core.membership.members, command
        ):
            return await self._commit(wire.Barrier())
        try:
            change = _replicas.make_change(
                command, lambda: self.state_machine.state.retired_replicas
            )
            return await self._commit(command, change)
        except consensus.MembershipError as exc:
            return wire.Outcome(reply=wire.Refused(findings=[str(exc)]))

    async def _commit(
        self, command: wire.Command, change=None
    ) -> wire.Outcome:
        data = msgspec.msgpack.encode(
            wire.TimestampedCommand(time.time(), command)
        )
        try:
            if change is None:
                reply = await self.node.propose(data)
            else:
                reply = await self.node.change_members(change, data)
        except consensus.NotLeaderError as exc:
            return wire.Outcome(leader=exc.leader)
        return wire.Outcome(reply=typing.cast(wire.Reply, reply))

    async def commit(self, command: wire.Command) -> wire.Reply | None:
        """Commits a command; returns None if this is not the leader."""
        return (await self._commit(command)).reply

    async def _query(self, query, context) -> wire.QueryReply:
        # Committing the barrier proves that there is no later leader.
        outcome = await self._commit(wire.Barrier())
        if outcome.leader is not None:
            return wire.QueryReply(leader=outcome.leader)
        return self.state_machine.query(query)

    def resources(self) -> dict[str, int]:
        """Returns what this replica keeps in memory, by the log's fields.

        Sizes are in bytes of encoded data.
        """
        core = self.node.core
        return {
            "log_entries": len(core.log.entries),
            "log_bytes": core.log.size(),
            "snapshot_bytes": len(core.snapshot_data),
            "followers": self._feed.connected_count,
        }

    def _voter_addresses(self) -> dict[str, str]:
        """Returns the addresses of the voting replicas by name."""
        return {
            member.name: member.address
            for member in self.node.core.membership.members
            if not member.learner
        }

    def _member_statuses(self) -> list[wire.MemberStatus]:
        core = self.node.core
        return [
            wire.MemberStatus(
                name=member.name,
                address=member.address,
                learner=member.learner,
                held=core.match_index(member.name),
            )
            for member in core.membership.members
        ]

    async def _status(self, request, context) -> wire.ReplicaStatus:
        core = self.node.core
        return wire.ReplicaStatus(
            name=self.name,
            role=core.role.value,
            leader=core.leader,
            term=core.term,
            commit=core.commit,
            applied=self.state_machine.applied,
            note=self.state_machine.state.release.number,
            contact_age=min(self.node.contact_age(), 1e6),
            disk_bytes=self.storage.size(),
            members=self._member_statuses(),
            followers=self._feed.statuses(),
            understands_evacuations=True,
        )
