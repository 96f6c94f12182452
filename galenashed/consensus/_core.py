"""Sans-IO consensus core of one replica of the log.

The protocol is leader-based log replication in the style of Raft: terms,
pre-vote, log matching, commit only of entries of the leader's own term, and
check-quorum, by which a leader that hears from no majority steps down.

The caller passes messages to :meth:`Core.step`, the time to
:meth:`Core.tick` and commands to :meth:`Core.propose`.  It then takes a
:class:`Ready`, writes its state to disk, calls :meth:`Core.on_persisted`, and
only then sends its messages.
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
MAX_INFLIGHT_ENTRIES = 4096
SNAPSHOT_CHUNK_BYTES = 64 * 1024
# A chunk without an answer is repeated after an election timeout, and after
# twice as long each further time, up to this many times as long.
MAX_REPEAT_FACTOR = 4


class Core:
    """Consensus state of one replica.

    Parameters
    ----------
    name : str
        This replica's name.
    election_timeout, heartbeat : float
        Seconds.  An election starts after one to two election timeouts
        without a leader.
    rng : random.Random
        Source of the election jitter.
    restored : Restored
        State read from disk, including the membership.
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
        self.last_leader_contact = now - election_timeout
        # When this replica, as a follower, last had all that was committed.
        self.current_as_of = float("-inf")
        self.term_start_index = 0
        self._votes: set[str] = set()
        self._followers = _followers.Followers()
        self._incoming = _snapshots.IncomingSnapshot()
        self._ready = _state.Ready()
        self._last_hard_state = wire.HardState(
            term=self.term, voted_for=self.voted_for, commit=0
        )
        self._next_heartbeat = now
        self._election_deadline = now
        self._reset_election_deadline(now)
        self.peers: list[str] = []
        self.quorum = 1
        self._update_peers(now)

    def _update_peers(self, now: float) -> None:
        """Updates peers and quorum after the membership changed."""
        names = self.membership.names
        self.peers = [name for name in names if name != self.name]
        self.quorum = len(self.membership.voters) // 2 + 1
        if self.role is not _state.Role.LEADER:
            return
        self._followers.set_peers(
            self.peers, next_index=self.log.last_index + 1, now=now
        )

    @property
    def is_voter(self) -> bool:
        """Whether this replica may vote and become leader."""
        return self.name in self.membership.voters

    # Time

    def next_tick(self) -> float:
        """Returns the time at which :meth:`tick` must be called next."""
        if self.role is _state.Role.LEADER:
            return self._next_heartbeat
        return self._election_deadline

    def tick(self, now: float) -> None:
        """Starts an election or sends heartbeats if they are due."""
        if self.role is _state.Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_deadline:
            if self.is_voter:
                self._start_election(now, pre=True)
            else:
                self._reset_election_deadline(now)

    def _tick_leader(self, now: float) -> None:
        if now < self._next_heartbeat:
            return
        if not self.has_quorum_contact(now):
            self._become_follower(now, self.term, leader="")
            return
        self._next_heartbeat = now + self.heartbeat
        self._followers.probe_unresponsive(now - self.election_timeout)
        for peer in self.peers:
            self._repeat_lost_chunk(peer, now)
            self._send_append(peer, heartbeat=True)

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority replied within one election timeout."""
        return (
            self._count_responsive(self.membership.voters, now) >= self.quorum
        )

    def _count_responsive(self, voters: set[str], now: float) -> int:
        """Counts voters that replied within one election timeout."""
        since = now - self.election_timeout
        others = self._followers.count_responsive(voters, since)
        return others + (self.name in voters)

    def report_unreachable(self, peer: str, now: float) -> None:
        """Handles a hint that a replica may be down, as its stream broke.

        If that replica is the leader, the next election is brought forward.
        A wrong hint is harmless: replicas that still hear from the leader
        reject the pre-vote.
        """
        if self.role is not _state.Role.FOLLOWER or self.leader != peer:
            return
        self.leader = ""
        self.last_leader_contact = now - self.election_timeout
        jitter = self.rng.random()
        self._election_deadline = now + self.election_timeout * jitter / 2

    def _reset_election_deadline(self, now: float) -> None:
        jitter = self.rng.random()
        self._election_deadline = now + self.election_timeout * (1.0 + jitter)

    # Output

    def take_ready(self) -> _state.Ready:
        """Returns the output accumulated since the last call."""
        ready = self._ready
        self._ready = _state.Ready()
        if (self.term, self.voted_for) != (
            self._last_hard_state.term,
            self._last_hard_state.voted_for,
        ):
            self._last_hard_state = wire.HardState(
                term=self.term, voted_for=self.voted_for, commit=self.commit
            )
            ready.hard_state = self._last_hard_state
        if self.commit > self.applied:
            ready.committed = self.log.between(self.applied, self.commit)
            self.applied = self.commit
        return ready

    def on_persisted(self, ready: _state.Ready, now: float) -> None:
        """Records that ``ready`` has been written to disk."""
        if ready.snapshot is not None:
            self.durable_index = ready.snapshot.index
        if ready.entries:
            self.durable_index = ready.entries[-1].index
        if self.role is _state.Role.LEADER:
            self._advance_commit()

    def has_ready(self) -> bool:
        """Whether :meth:`take_ready` would return any output."""
        ready = self._ready
        return bool(
            ready.must_persist
            or ready.messages
            or self.commit > self.applied
            or self.term != self._last_hard_state.term
            or self.voted_for != self._last_hard_state.voted_for
        )

    def _send(self, peer: str, message: wire.Message) -> None:
        self._ready.messages.append((peer, message))

    # Commands

    def propose(self, data: bytes) -> wire.Entry | None:
        """Appends a command; returns its entry, or None if not leader."""
        return self._append_as_leader(data, ())

    def _append_as_leader(
        self, data: bytes, members: _membership.Members
    ) -> wire.Entry | None:
        if self.role is not _state.Role.LEADER:
            return None
        entry = wire.Entry(self.log.last_index + 1, self.term, data, members)
        self.log.append([entry])
        self._ready.entries.append(entry)
        return entry

    def propose_membership_change(
        self,
        change: typing.Callable[[_membership.Members], _membership.Members],
        data: bytes,
        now: float,
    ) -> wire.Entry | None:
        """Appends a change of one member; returns None if not leader.

        ``change`` maps the current membership to the new one.  Raises
        MembershipError if the change is not possible at present.
        """
        if self.role is not _state.Role.LEADER:
            return None
        members = change(self.membership.members)
        self._check_membership_change(members, now)
        entry = self._append_as_leader(data, members)
        assert entry is not None
        self.membership.append([entry])
        self._update_peers(now)
        return entry

    def _check_membership_change(
        self, members: _membership.Members, now: float
    ) -> None:
        if self.commit < self.term_start_index:
            raise _membership.MembershipError(
                "the leader has not committed an entry of its term; retry"
            )
        if self.membership.index > self.applied:
            raise _membership.MembershipError(
                "another membership change is not committed yet; retry"
            )
        voters = _membership.voter_names(members)
        _membership.check_leader_not_removed(self.name, voters)
        for name in voters - self.membership.voters:
            self._check_caught_up(name)
        if self._count_responsive(voters, now) < len(voters) // 2 + 1:
            raise _membership.MembershipError(
                "no majority of the voters that would remain is reachable"
            )

    def match_index(self, name: str) -> int | None:
        """Returns the last index known to match on a replica, if any."""
        if name == self.name:
            return self.durable_index
        return self._followers.match_index(name)

    def seconds_since_contact(self, name: str, now: float) -> float:
        """Returns the seconds since a follower last replied to this leader."""
        return self._followers.seconds_since_contact(name, now)

    def _check_caught_up(self, name: str) -> None:
        """Raises MembershipError unless a learner has all committed entries.

        A voter that lags raises the majority needed for a commit, but cannot
        contribute to it until it has caught up.
        """
        match = self.match_index(name) or 0
        if match < self.commit:
            raise _membership.MembershipError(
                f"{name!r} has not caught up: it has {match} of"
                f" {self.commit} entries"
            )

    def replicate(self) -> None:
        """Sends proposed entries to the followers."""
        for peer in self.peers:
            self._send_append(peer, heartbeat=False)

    def compact(self, meta: wire.SnapshotMeta, data: bytes, keep: int):
        """Records a local snapshot and drops the log entries it covers.

        The last ``keep`` of these entries are retained, so that a slightly
        lagging follower can be served from the log.
        """
        self.snapshot = meta
        self.snapshot_data = data
        self.log.compact(meta.index - keep)
        self.membership.compact(self.log.base.index)
        self._followers.restart_snapshots()

    # Elections

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_election_deadline(now)
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
        self._followers.set_peers(
            self.peers, next_index=self.log.last_index + 1, now=now
        )
        # Entries of older terms commit only through an entry of the current
        # term, so an empty one is appended at once.
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
        self._reset_election_deadline(now)

    # Messages

    def step(self, now: float, message: wire.Message) -> None:
        """Handles a message from another replica.

        Messages from a leader or candidate that is not in the local
        membership are accepted, because the local log may be out of date.
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
            # The sender was removed, or this replica is no longer leader.
            return
        elif isinstance(message, wire.AppendReply):
            self._on_append_reply(now, message)
        else:
            self._on_snapshot_reply(now, message)

    def _on_vote_request(self, now: float, req: wire.VoteRequest) -> None:
        recent = now - self.last_leader_contact < self.election_timeout
        if self.role is _state.Role.LEADER or (self.leader and recent):
            # The current leader is presumed alive.
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
            can_vote = self.voted_for in ("", req.sender)
            granted = req.term == self.term and can_vote and up_to_date
            if granted:
                self.voted_for = req.sender
                self._reset_election_deadline(now)
        self._reply_vote(req, granted=granted)

    def _reply_vote(self, req: wire.VoteRequest, *, granted: bool) -> None:
        # A rejection carries this replica's own term, so that a candidate
        # with an older term catches up; a grant carries the requested term.
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

    def _follow_leader(self, now: float, leader: str) -> None:
        self.leader = leader
        self.last_leader_contact = now
        if self.role is not _state.Role.FOLLOWER:
            self.role = _state.Role.FOLLOWER
            self._followers.clear()
        self._reset_election_deadline(now)

    def _on_append(self, now: float, req: wire.Append) -> None:
        if req.term < self.term:
            self._reply_append(req.sender, ok=False, index=0)
            return
        self._follow_leader(now, req.sender)
        local_term = self.log.term_at(req.prev_index)
        if req.prev_index < self.log.base.index:
            # Covered by a snapshot, so committed and identical on all
            # replicas.
            self._reply_append(req.sender, ok=True, index=self.commit)
            return
        if local_term != req.prev_term:
            self._reject_append(req)
            return
        self._append_new(req.entries, now)
        match = req.prev_index + len(req.entries)
        self.commit = max(self.commit, min(req.commit, match))
        if self.commit >= req.commit and self._has_committed_in_term():
            self.current_as_of = now
        self._reply_append(req.sender, ok=True, index=match)

    def _has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is known to be committed.

        Until then, a leader that has just been elected may not know the
        latest committed entries as such.
        """
        return self.log.term_at(self.commit) == self.term

    def _reject_append(self, req: wire.Append) -> None:
        hint = min(req.prev_index - 1, self.log.last_index)
        # Skips all entries of conflicting terms in one round trip.
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
                new_entries = entries[position:]
                assert entry.index > self.commit
                self.log.append(new_entries)
                self.membership.truncate_from(entry.index)
                self.membership.append(new_entries)
                self._update_peers(now)
                self._truncate_pending_from(entry.index)
                self._ready.entries.extend(new_entries)
                self.durable_index = min(self.durable_index, entry.index - 1)
                return

    def _truncate_pending_from(self, index: int) -> None:
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
        was_silent = now - progress.last_contact > self.election_timeout
        progress.last_contact = now
        if progress.snapshot_offset is not None:
            if was_silent:
                progress.repeat_factor = 1
            return
        if not reply.ok:
            self._on_append_rejected(progress, reply)
            return
        if progress.probing:
            progress.probing = False
            progress.next_index = max(reply.index, progress.match_index) + 1
        if reply.index > progress.match_index:
            progress.match_index = reply.index
            progress.next_index = max(progress.next_index, reply.index + 1)
            self._advance_commit()
        if progress.next_index <= self.log.last_index:
            self._send_append(reply.sender, heartbeat=False)

    def _on_append_rejected(
        self, progress: _followers.Progress, reply: wire.AppendReply
    ) -> None:
        """Moves back to an index at which the follower's log may match.

        If several in-flight appends are rejected, only the first rejection
        is acted on; each of the others would cause all entries to be sent
        again.
        """
        if progress.probing and reply.prev_index != progress.next_index - 1:
            return
        # The match index may have advanced since this reply was sent.
        progress.next_index = max(reply.index + 1, progress.match_index + 1)
        progress.probing = True
        self._send_append(reply.sender, heartbeat=True)

    def _send_append(self, peer: str, *, heartbeat: bool) -> None:
        progress = self._followers[peer]
        if progress.probing and not heartbeat:
            return
        prev_index = progress.next_index - 1
        if progress.snapshot_offset is not None:
            # No entries can follow yet; the append shows that the leader is
            # alive.
            prev_index = self.snapshot.index
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            progress.repeat_factor = 1
            self._send_chunk(peer, progress, offset=0)
            return
        entries: list[wire.Entry] = []
        has_window = prev_index - progress.match_index < MAX_INFLIGHT_ENTRIES
        is_in_transfer = progress.snapshot_offset is not None
        if has_window and not progress.probing and not is_in_transfer:
            entries = self.log.after(prev_index, MAX_APPEND_BYTES)
        if not entries and not heartbeat:
            return
        progress.next_index += len(entries)
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
        matches = self._followers.match_indexes(self.membership.voters)
        matches.append(self.durable_index)
        matches.sort(reverse=True)
        index = matches[self.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            # Announces the commit without waiting for the next heartbeat.
            for peer in self.peers:
                self._send_append(peer, heartbeat=True)

    # Snapshots

    def _send_chunk(
        self, peer: str, progress: _followers.Progress, *, offset: int
    ) -> None:
        """Sends the chunk at ``offset``, which the follower has up to there.

        The next one is sent only once this one is acknowledged: with one for
        each commit or repeated reply, the chunks in flight would grow with
        the load for as long as the transfer takes.
        """
        progress.snapshot_offset = offset
        progress.reported_offset = offset
        progress.chunk_sent_by = None
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

    def _repeat_lost_chunk(self, peer: str, now: float) -> None:
        """Sends a chunk again that had no answer for a while.

        The wait grows with each repetition, since on a slow link each one
        delays those behind it.
        """
        progress = self._followers[peer]
        if progress.snapshot_offset is None:
            return
        if progress.chunk_sent_by is None:
            progress.chunk_sent_by = now
            return
        wait = self.election_timeout * progress.repeat_factor
        if now - progress.chunk_sent_by >= wait:
            progress.repeat_factor = min(
                MAX_REPEAT_FACTOR, 2 * progress.repeat_factor
            )
            # A follower that has restarted has lost the earlier chunks.
            self._send_chunk(peer, progress, offset=progress.reported_offset)

    def _on_snapshot_chunk(self, now: float, req: wire.SnapshotChunk) -> None:
        if req.term < self.term:
            self._reply_append(req.sender, ok=False, index=0)
            return
        self._follow_leader(now, req.sender)
        if self.log.term_at(req.meta.index) == req.meta.term:
            # The entries after the snapshot may have been acknowledged.
            self.commit = max(self.commit, req.meta.index)
        if req.meta.index <= self.commit:
            self._reply_append(req.sender, ok=True, index=self.commit)
            self._reply_snapshot(req, offset=-1)
            return
        data = self._incoming.add_chunk(req)
        if data is None:
            self._reply_snapshot(req, offset=self._incoming.next_offset)
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
        self._update_peers(now)
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
        progress.last_contact = now
        if progress.snapshot_offset is None:
            return
        if reply.offset < 0:
            progress.snapshot_offset = None
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            self._send_append(reply.sender, heartbeat=True)
        elif reply.index == self.snapshot.index:
            progress.reported_offset = reply.offset
            if reply.offset > progress.snapshot_offset:
                progress.repeat_factor = 1
                self._send_chunk(reply.sender, progress, offset=reply.offset)
