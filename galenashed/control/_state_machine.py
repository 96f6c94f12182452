"""Deterministic state machine of the replicated log."""

import typing

import msgspec

from galenashed.control import _budgets
from galenashed.control import _calls
from galenashed.control import _evacuations
from galenashed.control import _notes
from galenashed.control import _quarantine
from galenashed.control import _scarcity
from galenashed.control import _state
from galenashed.control import _suspects
from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire

EXPIRY_INTERVAL_SECONDS = 10.0
MAX_AUDIT_RECORDS = 20_000

_COMMAND_DECODER = msgspec.msgpack.Decoder(wire.TimestampedCommand)
_STATE_DECODER = msgspec.msgpack.Decoder(_state.ControlState)


class Listener(typing.Protocol):
    """Receives events that must be forwarded to entries."""

    def on_release(self) -> None:
        """Called when a new release or routing table is in force."""

    def on_recall(self, budget: str) -> None:
        """Called when entries should return unused tokens of a budget.

        Either a grant was refused while other holders have tokens of the
        budget, or its total was cut below what is granted.
        """

    def on_suspects(self) -> None:
        """Called when the set of suspected requests changes."""

    def on_quarantine(self) -> None:
        """Called when the quarantine or what is suspected changes."""

    def on_evacuations(self) -> None:
        """Called when a failure domain is evacuated or no longer is."""


class ControlStateMachine:
    """Applies committed commands to the control state.

    The reply to a command is a message of
    :data:`galenashed.protocol.control.Reply`.

    Example::

        state_machine = ControlStateMachine()
        stamped = wire.TimestampedCommand(at=0.0, command=wire.Barrier())
        state_machine.apply(1, msgspec.msgpack.encode(stamped))
    """

    def __init__(self) -> None:
        self.state = _state.ControlState()
        self.applied = 0
        self.listener: Listener | None = None
        # By holder, the log index of its last announcement or request for a
        # grant since this replica started.  Not part of the state.
        self.heard: dict[str, int] = {}
        # How fast budgets are used up, not part of the state either.
        self._scarcity = _scarcity.Scarcity()
        self._budget_of_grant: dict[str, str] = {}
        self._handlers: dict[type, typing.Callable] = {
            wire.PublishNote: self._publish_note,
            wire.ReplaceRoutes: self._replace_routes,
            wire.OpenGrant: self._open_grant,
            wire.CloseGrant: self._close_grant,
            wire.ShrinkGrant: self._shrink_grant,
            wire.SettleBills: self._settle_bills,
            wire.RecoverHolder: self._recover_holder,
            wire.Holding: self._record_holding,
            wire.SucceedHolder: self._succeed_holder,
            wire.ClaimCall: self._claim_call,
            wire.FinishCall: self._finish_call,
            wire.ReportCrash: self._report_crash,
            wire.BeginTrial: self._begin_trial,
            wire.EndTrial: self._end_trial,
            wire.ReportLostTarget: self._report_lost_target,
            wire.ClearSuspects: self._clear_suspects,
            wire.BeginSuspectTrial: self._begin_suspect_trial,
            wire.ChangeReplicas: self._change_replicas,
            wire.Barrier: self._barrier,
        }

    # Interface used by the replicated log

    def apply(self, index: int, data: bytes) -> wire.Reply:
        """Applies one committed command and returns its reply."""
        stamped = _COMMAND_DECODER.decode(data)
        self.state.now = max(self.state.now, stamped.at)
        self._expire(index)
        self.applied = index
        command = stamped.command
        return self._handlers[type(command)](index, command)

    def snapshot(self) -> bytes:
        """Returns the whole state, serialized."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the whole state with a snapshot taken at ``index``."""
        self.state = _STATE_DECODER.decode(data)
        _budgets.shorten_recent_bills(self.state)
        self.applied = index
        self._budget_of_grant = {
            grant: budget_state.name
            for budget_state in self.state.budgets.values()
            for grant in budget_state.grants
        }
        if self.listener is not None:
            self.listener.on_release()
            self.listener.on_suspects()
            self.listener.on_quarantine()
            self.listener.on_evacuations()

    # Queries

    def query(self, query: wire.Query) -> wire.QueryReply:
        """Answers from the local state, which may lag behind the leader."""
        if query.kind == "balance":
            return wire.QueryReply(balances=self._balances(query))
        if query.kind == "bill":
            return wire.QueryReply(bills=self._bills(query))
        if query.kind == "routes":
            return wire.QueryReply(
                routes_version=self.state.routes.version,
                routes_source=self.state.routes_source,
            )
        if query.kind == "evacuations":
            return wire.QueryReply(
                evacuations=_evacuations.list_records(self.state)
            )
        if query.kind == "release":
            return wire.QueryReply(release=self.state.release)
        audit = self.state.audit
        matches = [r for r in audit if query.subject in ("", r.subject)]
        return wire.QueryReply(audit=matches[-query.limit :])

    def _balances(self, query: wire.Query) -> list[wire.Balance]:
        matches = []
        for budget_state in self.state.budgets.values():
            if query.subject not in ("", budget_state.name):
                continue
            if query.team in ("", budget_state.team):
                matches.append(_budgets.make_balance(budget_state))
            if len(matches) >= query.limit:
                break
        return matches

    def _bills(self, query: wire.Query) -> list[wire.Bill]:
        return [
            bill
            for bill in self.state.recent_bills
            if query.subject in ("", bill.id) and query.team in ("", bill.team)
        ][-query.limit :]

    def notes_after(self, index: int) -> list[wire.AcceptedNote] | None:
        """Returns the notes accepted after ``index``, oldest first.

        Returns None if some of them were already discarded; the caller must
        then send the whole release.
        """
        if index >= self.state.release.index:
            return []
        recent = self.state.recent_notes
        if index < self.state.notes_complete_after:
            return None
        return [note for note in recent if note.index > index]

    def suspects(self) -> wire.Suspects:
        """Returns the suspected requests and their crash counts."""
        return _suspects.list_suspects(self.state)

    def quarantine(self) -> wire.Quarantine:
        """Returns what is suspected of crashing targets."""
        return _quarantine.list_suspects(self.state)

    def evacuated_domains(self) -> wire.EvacuatedDomains:
        """Returns the failure domains whose targets get no requests."""
        return _evacuations.list_domains(self.state)

    def budget_totals(self) -> dict[str, int]:
        """Returns the sums over all budgets, in tokens."""
        return _budgets.compute_totals(self.state)

    def holders(self) -> list[str]:
        """Returns the names of all holders, those without grants included."""
        return list(self.state.holders)

    def unannounced_grants(self) -> list[_budgets.UnannouncedGrant]:
        """Returns the grants with tokens beyond their announced limits."""
        return _budgets.list_unannounced(self.state)

    def largest_holders(self, count: int) -> list[_budgets.HeldTokens]:
        """Returns the instances that hold the most unbilled tokens."""
        return _budgets.list_largest_holders(self.state, count)

    def check_invariant(self) -> None:
        """Raises AssertionError if the accounts of a budget are inconsistent.

        ``outstanding`` must equal the unsettled tokens of the open grants,
        and ``settled + outstanding`` must not exceed ``prepaid``.
        """
        for budget_state in self.state.budgets.values():
            open_tokens = sum(
                grant.amount - grant.settled
                for grant in budget_state.grants.values()
            )
            assert budget_state.outstanding == open_tokens, budget_state
            assert (
                budget_state.settled + budget_state.outstanding
                <= budget_state.prepaid
            ), budget_state

    # Commands

    def _publish_note(self, index: int, cmd: wire.PublishNote) -> wire.Reply:
        reply = _notes.check_note_number(self.state, cmd)
        if reply is None:
            reply = self._apply_note(index, cmd)
        self._audit_note(index, cmd, reply)
        return reply

    def _apply_note(self, index: int, cmd: wire.PublishNote) -> wire.Reply:
        state = self.state
        merged = _notes.merge(state.release, cmd, index)
        findings = _notes.find_errors(state, cmd.note, merged)
        if findings:
            return wire.Refused(findings=findings)
        state.release = merged
        _notes.record_note(state, cmd, index)
        for budget in cmd.note.budgets:
            _budgets.top_up(state, budget)
            for top_up in budget.top_ups:
                self._audit(
                    index,
                    actor=cmd.note.author,
                    action="top-up",
                    subject=budget.name,
                    digest=top_up.id,
                    result=f"{top_up.tokens:+d} tokens",
                )
        if self.listener is not None:
            self.listener.on_release()
        return wire.Done(index=index)

    def _replace_routes(
        self, index: int, cmd: wire.ReplaceRoutes
    ) -> wire.Reply:
        table = cmd.table
        findings = routes_wire.find_errors(table)
        if findings:
            return wire.Refused(findings=findings)
        if table.version <= self.state.routes.version:
            # A repeated or outdated command succeeds without any change.
            return wire.Done(index=index)
        self.state.routes = table
        self.state.routes_source = cmd.source
        exceeded_teams = self._set_team_totals(table)
        self._audit(
            index,
            actor="operator",
            action="replace routes",
            subject=f"version {table.version}",
            digest=_notes.compute_bytes_digest(cmd.source),
            result="accepted",
        )
        if self.listener is not None:
            self.listener.on_release()
            for budget in exceeded_teams:
                self.listener.on_recall(budget)
        return wire.Done(index=index)

    def _set_team_totals(self, table: routes_wire.RoutingTable) -> list[str]:
        """Sets the prepaid totals of teams.

        Returns the teams whose granted tokens exceed the new total.
        """
        routed_teams = set()
        exceeded_teams = []
        for team in table.teams:
            if team.prepaid is None:
                continue
            routed_teams.add(team.name)
            if _budgets.set_total(self.state, team.name, team.prepaid):
                exceeded_teams.append(team.name)
        for budget_state in self.state.budgets.values():
            if budget_state.routed and budget_state.name not in routed_teams:
                budget_state.routed = False
        return exceeded_teams

    def _audit_note(self, index, cmd: wire.PublishNote, reply) -> None:
        if isinstance(reply, wire.Refused):
            result = "refused: " + "; ".join(reply.findings)
        elif reply.index != index:
            result = f"already accepted at index {reply.index}"
        else:
            result = "accepted"
        self._audit(
            index,
            actor=cmd.note.author,
            action="publish",
            subject=f"note {cmd.note.number}",
            digest=cmd.digest,
            result=result,
        )

    def _audit(self, index, *, actor, action, subject, digest, result):
        record = wire.AuditRecord(
            index=index,
            at=self.state.now,
            actor=actor,
            action=action,
            subject=subject,
            digest=digest,
            result=result,
        )
        self.state.audit.append(record)
        if len(self.state.audit) > MAX_AUDIT_RECORDS:
            del self.state.audit[: MAX_AUDIT_RECORDS // 10]

    def _open_grant(self, index: int, cmd: wire.OpenGrant) -> wire.Reply:
        reply = _budgets.open_grant(self.state, cmd)
        self.heard[cmd.holder] = index
        if isinstance(reply, wire.Granted):
            self._budget_of_grant[cmd.grant] = cmd.budget
        elif (
            isinstance(reply, wire.Short) and reply.elsewhere and self.listener
        ):
            self.listener.on_recall(cmd.budget)
        return reply

    def _close_grant(self, index: int, cmd: wire.CloseGrant) -> wire.Reply:
        budget = self._budget_of_grant.get(cmd.grant)
        if budget is None:
            return wire.Done(index=index)
        if self._belongs_to_other_holder(cmd, budget):
            return wire.Refused(findings=["the grant is not the sender's"])
        del self._budget_of_grant[cmd.grant]
        return _budgets.close_grant(self.state, cmd, budget, index)

    def _shrink_grant(self, index: int, cmd: wire.ShrinkGrant) -> wire.Reply:
        budget = self._budget_of_grant.get(cmd.grant)
        if budget is None:
            return wire.Done(index=index)
        if self._belongs_to_other_holder(cmd, budget):
            return wire.Refused(findings=["the grant is not the sender's"])
        return _budgets.shrink_grant(self.state, cmd, budget, index)

    def _belongs_to_other_holder(self, cmd, budget: str) -> bool:
        """Returns whether another holder than the sender has the grant."""
        grant = self.state.budgets[budget].grants[cmd.grant]
        return grant.holder != cmd.holder

    def _settle_bills(self, index: int, cmd: wire.SettleBills) -> wire.Reply:
        return _budgets.settle_bills(self.state, cmd, self._budget_of_grant)

    def _recover_holder(
        self, index: int, cmd: wire.RecoverHolder
    ) -> wire.Reply:
        freed = _budgets.recover_holder(self.state, cmd, self._budget_of_grant)
        if not freed and not cmd.copies:
            # A graceful stop leaves nothing to recover.
            return wire.Done(index=index)
        self._audit(
            index,
            actor=cmd.witness,
            action="recover",
            subject=cmd.holder,
            digest="",
            result=f"{freed} tokens freed, {len(cmd.copies)} bills",
        )
        return wire.Done(index=index)

    def _record_holding(self, index: int, cmd: wire.Holding) -> wire.Reply:
        budgets = _budgets.record_holding(
            self.state, cmd, self._budget_of_grant
        )
        self.heard[cmd.holder] = index
        scarce = [
            name
            for name in budgets
            if self._scarcity.is_scarce(
                self.state.budgets[name], self.state.now
            )
        ]
        return wire.Done(index=index, scarce=scarce)

    def _succeed_holder(
        self, index: int, cmd: wire.SucceedHolder
    ) -> wire.Reply:
        reply = _budgets.succeed_holder(self.state, cmd, self._budget_of_grant)
        if reply.freed or reply.lost:
            self._audit(
                index,
                actor=cmd.holder,
                action="succeed",
                subject=cmd.place,
                digest="",
                result=f"{reply.freed} tokens freed, {reply.lost} lost",
            )
        return reply

    def _claim_call(self, index: int, cmd: wire.ClaimCall) -> wire.Reply:
        return _calls.claim(self.state, cmd)

    def _finish_call(self, index: int, cmd: wire.FinishCall) -> wire.Reply:
        return _calls.finish(self.state, cmd)

    def _report_crash(self, index: int, cmd: wire.ReportCrash) -> wire.Reply:
        reply = _suspects.report_crash(self.state, cmd, index)
        self._audit(
            index,
            actor="system",
            action="crash",
            subject=cmd.target,
            digest=cmd.digest,
            result=f"{reply.count} targets lost to this request",
        )
        if self.listener is not None:
            self.listener.on_suspects()
        return reply

    def _begin_trial(self, index: int, cmd: wire.BeginTrial) -> wire.Reply:
        return _suspects.begin_trial(self.state, cmd)

    def _end_trial(self, index: int, cmd: wire.EndTrial) -> wire.Reply:
        cleared = _suspects.end_trial(self.state, cmd, index)
        if cleared and self.listener is not None:
            self.listener.on_suspects()
        return wire.Done(index=index)

    def _report_lost_target(
        self, index: int, cmd: wire.ReportLostTarget
    ) -> wire.Reply:
        quarantined = _quarantine.report(self.state, cmd, index)
        for suspect in quarantined:
            self._audit(
                index,
                actor="system",
                action="quarantine",
                subject=suspect,
                digest=cmd.request,
                result=f"target {cmd.target} crashed",
            )
        return self._make_quarantine_reply(index)

    def _clear_suspects(
        self, index: int, cmd: wire.ClearSuspects
    ) -> wire.Reply:
        for suspect in _quarantine.clear(self.state, cmd, index):
            self._audit(
                index,
                actor="system",
                action="release from quarantine",
                subject=suspect,
                digest="",
                result="answered",
            )
        return self._make_quarantine_reply(index)

    def _begin_suspect_trial(
        self, index: int, cmd: wire.BeginSuspectTrial
    ) -> wire.Reply:
        allowed = _quarantine.begin_trial(self.state, cmd, index)
        self._notify_quarantine(index)
        record = self.state.suspects.get(cmd.suspect)
        count = _quarantine.count_targets(record.evidence) if record else 0
        return wire.Trial(allowed=allowed, count=count)

    def _make_quarantine_reply(self, index: int) -> wire.Quarantine:
        self._notify_quarantine(index)
        return self.quarantine()

    def _notify_quarantine(self, index: int) -> None:
        """Notifies the listener if this command changed the quarantine."""
        if self.state.quarantine_index == index and self.listener is not None:
            self.listener.on_quarantine()

    def _change_replicas(
        self, index: int, cmd: wire.ChangeReplicas
    ) -> wire.Reply:
        # The log has already changed the membership; only record it here.
        retired = self.state.retired_replicas
        if cmd.action == "remove" and cmd.name not in retired:
            retired.append(cmd.name)
        self._audit(
            index,
            actor=cmd.actor,
            action=f"replica {cmd.action}",
            subject=cmd.name,
            digest="",
            result=f"done {cmd.address}".strip(),
        )
        return wire.Done(index=index)

    def _barrier(self, index: int, cmd: wire.Barrier) -> wire.Reply:
        order = cmd.evacuation
        if order is not None and _evacuations.apply(self.state, order, index):
            self._audit(
                index,
                actor=order.actor,
                action=f"evacuation {'begin' if order.active else 'end'}",
                subject=order.domain,
                digest="",
                result="done",
            )
            if self.listener is not None:
                self.listener.on_evacuations()
        return wire.Done(index=index)

    def _expire(self, index: int) -> None:
        if self.state.now < self.state.next_expiry:
            return
        self.state.next_expiry = self.state.now + EXPIRY_INTERVAL_SECONDS
        _budgets.expire(self.state)
        self.heard = {
            name: index
            for name, index in self.heard.items()
            if name in self.state.holders
        }
        for item in _budgets.write_off(self.state, self._budget_of_grant):
            del self._budget_of_grant[item.grant]
            self._audit(
                index,
                actor="system",
                action="write-off",
                subject=item.budget,
                digest="",
                result=f"{item.tokens} tokens of {item.grant}",
            )
        _calls.expire(self.state)
        if _suspects.expire(self.state) and self.listener is not None:
            self.listener.on_suspects()
        if _quarantine.expire(self.state, index) and self.listener is not None:
            self.listener.on_quarantine()
