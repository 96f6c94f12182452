"""The sans-IO state machine of one replica of the log.

The manner is the well-known one of leader-based log replication: terms,
pre-vote, log matching, commit only of entries of the leader's own term, and
check-quorum, by which a leader that hears from no majority steps down.

The caller feeds messages to :meth:`Core.step`, the time to
:meth:`Core.tick` and commands to :meth:`Core.propose`; it then takes a
:class:`Ready`, makes its state durable, reports that by
:meth:`Core.persisted`, and only then sends its messages.
"""

import random
import typing

from galenashed.consensus import _followers
from galenashed.consensus import _log
from galenashed.consensus import _membership
from galenashed.consensus import _snapshots
from galenashed.consensus import _state
from galenashed.protocol import consensus as wire

MAX_APPEND_BYTES = 256 * 1024
MAX_PENDING_ENTRIES = 4096
SNAPSHOT_CHUNK_BYTES = 256 * 1024


class Core:
    """One replica's state machine.

    Parameters
    ----------
    name : str
        This replica's name.
    election_timeout, heartbeat : float
        Seconds.  An election starts after one to two election timeouts
        without a leader.
    rng : random.Random
        Source of the jitter.
    restored : Restored
        What the disk held, the membership included.
    now : float
        The time in seconds on a monotonic clock.
    """

    def __init__(
        self,
        *,
        name: str,
        election_timeout: float,
        heartbeat: float,
        rng: random.Random,
        restored: _state.Restored,
        now: float,
    ):
        self.name = name
        self.election_timeout = election_timeout
        self.heartbeat = heartbeat
        self.rng = rng
        self.term = restored.hard_state.term
        self.voted_for = restored.hard_state.voted_for
        self.log = _log.Log(base=restored.snapshot, entries=restored.entries)
        self.membership = _membership.Membership(
            base=restored.snapshot, entries=restored.entries
        )
        self.snapshot = restored.snapshot
        self.snapshot_data = restored.snapshot_data
        self.commit = max(restored.snapshot.index, 0)
        self.applied = restored.snapshot.index
        self.durable_index = self.log.last_index
        self.role = _state.Role.FOLLOWER
        self.leader = ""
        self.leader_contact = now - election_timeout
        self.term_start_index = 0
        self._votes: set[str] = set()
        self._followers = _followers.Followers()
        self._incoming = _snapshots.IncomingSnapshot()
        self._ready = _state.Ready()
        self._saved = wire.HardState(
            term=self.term, voted_for=self.voted_for, commit=0
        )
        self._next_heartbeat = now
        self._deadline = now
        self._reset_deadline(now)
        self.peers: list[str] = []
        self.quorum = 1
        self._refresh_members(now)

    def _refresh_members(self, now: float) -> None:
        """Takes over a membership that was appended or dropped."""
        names = self.membership.names
        self.peers = [name for name in names if name != self.name]
        self.quorum = len(self.membership.voters) // 2 + 1
        if self.role is not _state.Role.LEADER:
            return
        self._followers.keep(
            self.peers, next_index=self.log.last_index + 1, now=now
        )

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes and may lead."""
        return self.name in self.membership.voters

    # Time

    def next_tick(self) -> float:
        """Returns the time at which :meth:`tick` has something to do."""
        if self.role is _state.Role.LEADER:
            return self._next_heartbeat
        return self._deadline

    def tick(self, now: float) -> None:
        """Starts an election, or sends heartbeats, when they are due."""
        if self.role is _state.Role.LEADER:
            self._tick_leader(now)
        elif now >= self._deadline:
            if self.is_voter:
                self._start_election(now, pre=True)
            else:
                self._reset_deadline(now)

    def _tick_leader(self, now: float) -> None:
        if now < self._next_heartbeat:
            return
        if not self.has_quorum_contact(now):
            self._become_follower(now, self.term, leader="")
            return
        self._next_heartbeat = now + self.heartbeat
        self._followers.probe_silent(now - self.election_timeout)
        for peer in self.peers:
            self._send_append(peer, heartbeat=True)

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority answered within one election timeout."""
        return self._count_recent(self.membership.voters, now) >= self.quorum

    def _count_recent(self, voters: set[str], now: float) -> int:
        """Counts those of the voters that answered of late."""
        since = now - self.election_timeout
        others = self._followers.count_recent(voters, since)
        return others + (self.name in voters)

    def report_unreachable(self, peer: str, now: float) -> None:
        """Takes a hint that a replica may be gone, as its stream broke.

        If it leads, an election starts soon.  A wrong hint does no harm:
        replicas that still hear the leader refuse the pre-vote.
        """
        if self.role is not _state.Role.FOLLOWER or self.leader != peer:
            return
        self.leader = ""
        self.leader_contact = now - self.election_timeout
        jitter = self.rng.random()
        self._deadline = now + self.election_timeout * jitter / 2

    def _reset_deadline(self, now: float) -> None:
        jitter = self.rng.random()
        self._deadline = now + self.election_timeout * (1.0 + jitter)

    # Output

    def take_ready(self) -> _state.Ready:
        """Returns what has come together since the last call."""
        ready = self._ready
        self._ready = _state.Ready()
        if (self.term, self.voted_for) != (
            self._saved.term,
            self._saved.voted_for,
        ):
            self._saved = wire.HardState(
                term=self.term, voted_for=self.voted_for, commit=self.commit
            )
            ready.hard_state = self._saved
        if self.commit > self.applied:
            ready.committed = self.log.between(self.applied, self.commit)
            self.applied = self.commit
        return ready

    def persisted(self, ready: _state.Ready, now: float) -> None:
        """Notes that ``ready`` is on disk."""
        if ready.snapshot is not None:
            self.durable_index = ready.snapshot.index
        if ready.entries:
            self.durable_index = ready.entries[-1].index
        if self.role is _state.Role.LEADER:
            self._advance_commit()

    def has_ready(self) -> bool:
        """Whether :meth:`take_ready` would return anything."""
        ready = self._ready
        return bool(
            ready.durable
            or ready.messages
            or self.commit > self.applied
            or self.term != self._saved.term
            or self.voted_for != self._saved.voted_for
        )

    def _send(self, peer: str, message: wire.Message) -> None:
        self._ready.messages.append((peer, message))

    # Commands

    def propose(self, data: bytes) -> wire.Entry | None:
        """Appends a command and returns its entry; None if not leader."""
        return self._append_own(data, ())

    def _append_own(
        self, data: bytes, members: _membership.Members
    ) -> wire.Entry | None:
        if self.role is not _state.Role.LEADER:
            return None
        entry = wire.Entry(self.log.last_index + 1, self.term, data, members)
        self.log.append([entry])
        self._ready.entries.append(entry)
        return entry

    def propose_members(
        self,
        change: typing.Callable[[_membership.Members], _membership.Members],
        data: bytes,
        now: float,
    ) -> wire.Entry | None:
        """Appends a change of one member; None if not leader.

        ``change`` returns the membership that is to follow the one given.
        Raises MembershipError if the log can't take it now.
        """
        if self.role is not _state.Role.LEADER:
            return None
        members = change(self.membership.members)
        self._check_change(members, now)
        entry = self._append_own(data, members)
        assert entry is not None
        self.membership.append([entry])
        self._refresh_members(now)
        return entry

    def _check_change(self, members: _membership.Members, now: float) -> None:
        if self.commit < self.term_start_index:
            raise _membership.MembershipError(
                "the leader has just been elected; ask again"
            )
        if self.membership.index > self.applied:
            raise _membership.MembershipError(
                "another change has not been committed yet; ask again"
            )
        voters = _membership.voters_of(members)
        _membership.check_leader_stays(self.name, voters)
        for name in voters - self.membership.voters:
            self._check_caught_up(name)
        if self._count_recent(voters, now) < len(voters) // 2 + 1:
            raise _membership.MembershipError(
                "no majority of the voters that would be left answers"
            )

    def match_index(self, name: str) -> int | None:
        """Returns how far a replica surely holds the log, if known here."""
        if name == self.name:
            return self.durable_index
        return self._followers.match(name)

    def seconds_since_contact(self, name: str, now: float) -> float:
        """Returns the seconds since a follower of this leader answered."""
        return self._followers.silence(name, now)

    def _check_caught_up(self, name: str) -> None:
        """Raises MembershipError unless a learner holds what is committed.

        A voter that holds less counts towards the majority that commits
        need, without helping to reach it until it has caught up.
        """
        match = self.match_index(name) or 0
        if match < self.commit:
            raise _membership.MembershipError(
                f"{name!r} has not caught up: it holds {match} of"
                f" {self.commit} entries"
            )

    def replicate(self) -> None:
        """Sends what has been proposed to the followers."""
        for peer in self.peers:
            self._send_append(peer, heartbeat=False)

    def compact(self, meta: wire.SnapshotMeta, data: bytes, keep: int):
        """Notes a local snapshot and drops log entries it covers.

        ``keep`` entries before it stay, so that a follower that lags a
        little is served from the log.
        """
        self.snapshot = meta
        self.snapshot_data = data
        self.log.compact(meta.index - keep)
        self.membership.compact(self.log.base.index)
        self._followers.restart_snapshots()

    # Elections

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_deadline(now)
        self.leader = ""
        self._votes = {self.name}
        if pre:
            self.role = _state.Role.PRE_CANDIDATE
        else:
            self.role = _state.Role.CANDIDATE
            self.term += 1
            self.voted_for = self.name
        if len(self._votes) >= self.quorum:
            self._win_election(now, pre=pre)
            return
        for peer in sorted(self.membership.voters - {self.name}):
            self._send(
                peer,
                wire.VoteRequest(
                    sender=self.name,
                    term=self.term + 1 if pre else self.term,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    pre=pre,
                ),
            )

    def _win_election(self, now: float, *, pre: bool) -> None:
        if pre:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = _state.Role.LEADER
        self.leader = self.name
        self._next_heartbeat = now + self.heartbeat
        self._followers.keep(
            self.peers, next_index=self.log.last_index + 1, now=now
        )
        # An empty entry of the new term lets entries of older terms commit.
        entry = self.propose(b"")
        assert entry is not None
        self.term_start_index = entry.index
        self.replicate()

    def _become_follower(self, now: float, term: int, *, leader: str) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
        self.role = _state.Role.FOLLOWER
        self.leader = leader
        self._followers.clear()
        self._reset_deadline(now)

    # Messages

    def step(self, now: float, message: wire.Message) -> None:
        """Handles a message from another replica.

        A leader or candidate that this replica's own log does not name yet
        is heard all the same: the log that it has may be older.
        """
        if message.sender == self.name:
            return
        if isinstance(message, wire.VoteRequest):
            self._on_vote_request(now, message)
            return
        if isinstance(message, wire.VoteReply):
            self._on_vote_reply(now, message)
            return
        if message.term > self.term:
            self._become_follower(now, message.term, leader="")
        if isinstance(message, wire.Append):
            self._on_append(now, message)
        elif isinstance(message, wire.SnapshotChunk):
            self._on_snapshot_chunk(now, message)
        elif message.sender not in self._followers:
            # Removed since, or this replica no longer leads.
            return
        elif isinstance(message, wire.AppendReply):
            self._on_append_reply(now, message)
        else:
            self._on_snapshot_reply(now, message)

    def _on_vote_request(self, now: float, req: wire.VoteRequest) -> None:
        heard = now - self.leader_contact < self.election_timeout
        if self.role is _state.Role.LEADER or (self.leader and heard):
            # The current leader is alive as far as this replica knows.
            if req.term > self.term or req.pre:
                self._reply_vote(req, granted=False)
            return
        if not req.pre and req.term > self.term:
            self._become_follower(now, req.term, leader="")
        up_to_date = (req.last_term, req.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if req.pre:
            granted = req.term > self.term and up_to_date
        else:
            free = self.voted_for in ("", req.sender)
            granted = req.term == self.term and free and up_to_date
            if granted:
                self.voted_for = req.sender
                self._reset_deadline(now)
        self._reply_vote(req, granted=granted)

    def _reply_vote(self, req: wire.VoteRequest, *, granted: bool) -> None:
        # A refusal carries this replica's own term, by which a candidate
        # that lags learns of it; a grant carries the term it is for.
        self._send(
            req.sender,
            wire.VoteReply(
                sender=self.name,
                term=req.term if granted else self.term,
                granted=granted,
                pre=req.pre,
            ),
        )

    def _on_vote_reply(self, now: float, reply: wire.VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(now, reply.term, leader="")
            return
        if reply.pre:
            if self.role is not _state.Role.PRE_CANDIDATE:
                return
            if reply.term != self.term + 1:
                return
        else:
            if (
                self.role is not _state.Role.CANDIDATE
                or reply.term != self.term
            ):
                return
        if reply.sender in self.membership.voters:
            self._votes.add(reply.sender)
        if len(self._votes) >= self.quorum:
            self._win_election(now, pre=reply.pre)

    def _follow(self, now: float, leader: str) -> None:
        self.leader = leader
        self.leader_contact = now
        if self.role is not _state.Role.FOLLOWER:
            self.role = _state.Role.FOLLOWER
            self._followers.clear()
        self._reset_deadline(now)

    def _on_append(self, now: float, req: wire.Append) -> None:
        if req.term < self.term:
            self._reply_append(req.sender, ok=False, index=0)
            return
        self._follow(now, req.sender)
        held = self.log.term_at(req.prev_index)
        if req.prev_index < self.log.base.index:
            # Covered by a snapshot; entries there are committed and equal.
            self._reply_append(req.sender, ok=True, index=self.commit)
            return
        if held != req.prev_term:
            self._reject_append(req)
            return
        self._append_new(req.entries, now)
        match = req.prev_index + len(req.entries)
        self.commit = max(self.commit, min(req.commit, match))
        self._reply_append(req.sender, ok=True, index=match)

    def _reject_append(self, req: wire.Append) -> None:
        hint = min(req.prev_index - 1, self.log.last_index)
        # Skips the whole conflicting term at once.
        term = self.log.term_at(hint)
        while (
            term is not None
            and term > req.prev_term
            and hint > self.log.base.index
        ):
            hint -= 1
            term = self.log.term_at(hint)
        self._send(
            req.sender,
            wire.AppendReply(
                sender=self.name,
                term=self.term,
                ok=False,
                index=hint,
                prev_index=req.prev_index,
            ),
        )

    def _append_new(self, entries: list[wire.Entry], now: float) -> None:
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                fresh = entries[position:]
                assert entry.index > self.commit
                self.log.append(fresh)
                self.membership.drop_from(entry.index)
                self.membership.append(fresh)
                self._refresh_members(now)
                self._drop_pending_from(entry.index)
                self._ready.entries.extend(fresh)
                self.durable_index = min(self.durable_index, entry.index - 1)
                return

    def _drop_pending_from(self, index: int) -> None:
        pending = self._ready.entries
        self._ready.entries = [e for e in pending if e.index < index]

    def _reply_append(self, leader: str, *, ok: bool, index: int) -> None:
        self._send(
            leader,
            wire.AppendReply(
                sender=self.name, term=self.term, ok=ok, index=index
            ),
        )

    def _on_append_reply(self, now: float, reply: wire.AppendReply) -> None:
        if self.role is not _state.Role.LEADER or reply.term != self.term:
            return
        progress = self._followers[reply.sender]
        progress.contact = now
        if progress.offset is not None:
            return
        if not reply.ok:
            self._on_refused(progress, reply)
            return
        if progress.probing:
            progress.probing = False
            progress.next = max(reply.index, progress.match) + 1
        if reply.index > progress.match:
            progress.match = reply.index
            progress.next = max(progress.next, reply.index + 1)
            self._advance_commit()
        if progress.next <= self.log.last_index:
            self._send_append(reply.sender, heartbeat=False)

    def _on_refused(
        self, progress: _followers.Progress, reply: wire.AppendReply
    ) -> None:
        """Goes back to where the follower's log may agree.

        Of many appends on their way that were refused, the first one is
        answered: each of the others would have all entries sent again.
        """
        if progress.probing and reply.prev_index != progress.next - 1:
            return
        # A reply older than what has matched since is of no use.
        progress.next = max(reply.index + 1, progress.match + 1)
        progress.probing = True
        self._send_append(reply.sender, heartbeat=True)

    def _send_append(self, peer: str, *, heartbeat: bool) -> None:
        progress = self._followers[peer]
        if progress.probing and not heartbeat:
            return
        if progress.offset is not None:
            if heartbeat:
                self._send_chunk(peer, progress)
            return
        prev_index = progress.next - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            progress.offset = 0
            self._send_chunk(peer, progress)
            return
        entries: list[wire.Entry] = []
        room = prev_index - progress.match < MAX_PENDING_ENTRIES
        if room and not progress.probing:
            entries = self.log.after(prev_index, MAX_APPEND_BYTES)
        if not entries and not heartbeat:
            return
        progress.next += len(entries)
        self._send(
            peer,
            wire.Append(
                sender=self.name,
                term=self.term,
                prev_index=prev_index,
                prev_term=prev_term,
                commit=self.commit,
                entries=entries,
            ),
        )

    def _advance_commit(self) -> None:
        matches = self._followers.matches(self.membership.voters)
        matches.append(self.durable_index)
        matches.sort(reverse=True)
        index = matches[self.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            # Tells the followers without waiting for the next heartbeat.
            for peer in self.peers:
                self._send_append(peer, heartbeat=True)

    # Snapshots

    def _send_chunk(self, peer: str, progress: _followers.Progress) -> None:
        offset = progress.offset or 0
        end = offset + SNAPSHOT_CHUNK_BYTES
        self._send(
            peer,
            wire.SnapshotChunk(
                sender=self.name,
                term=self.term,
                meta=self.snapshot,
                offset=offset,
                data=self.snapshot_data[offset:end],
                last=end >= len(self.snapshot_data),
            ),
        )

    def _on_snapshot_chunk(self, now: float, req: wire.SnapshotChunk) -> None:
        if req.term < self.term:
            self._reply_append(req.sender, ok=False, index=0)
            return
        self._follow(now, req.sender)
        if req.meta.index <= self.commit:
            self._reply_append(req.sender, ok=True, index=self.commit)
            self._reply_snapshot(req, offset=-1)
            return
        data = self._incoming.take(req)
        if data is None:
            self._reply_snapshot(req, offset=self._incoming.size)
            return
        self._install_snapshot(req.meta, data, now)
        self._reply_snapshot(req, offset=-1)

    def _install_snapshot(
        self, meta: wire.SnapshotMeta, data: bytes, now: float
    ) -> None:
        self.snapshot = meta
        self.snapshot_data = data
        self.log.reset(meta)
        self.membership.reset(meta)
        self._refresh_members(now)
        self.commit = meta.index
        self.applied = meta.index
        self._ready.entries = []
        self._ready.snapshot = meta
        self._ready.snapshot_data = data

    def _reply_snapshot(self, req: wire.SnapshotChunk, *, offset: int):
        self._send(
            req.sender,
            wire.SnapshotReply(
                sender=self.name,
                term=self.term,
                index=req.meta.index,
                offset=offset,
            ),
        )

    def _on_snapshot_reply(self, now, reply: wire.SnapshotReply) -> None:
        if self.role is not _state.Role.LEADER or reply.term != self.term:
            return
        progress = self._followers[reply.sender]
        progress.contact = now
        if progress.offset is None:
            return
        if reply.offset < 0:
            progress.offset = None
            progress.match = max(progress.match, reply.index)
            progress.next = progress.match + 1
            self._send_append(reply.sender, heartbeat=True)
        elif reply.index == self.snapshot.index:
            progress.offset = reply.offset
            self._send_chunk(reply.sender, progress)
        else:
            progress.offset = 0
            self._send_chunk(reply.sender, progress)
