"""Proposals: group commit at the leader, resends elsewhere."""

import msgspec
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeForgottenError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import ClaimReply
from snipelead.messages import SettleReply
from snipelead.messages import SubmitReply
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.voters.exceptions import ClaimsFullError
from snipelead.voters.exceptions import MemberReplacedError
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.exceptions import QuorumLostError
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import VoterBusyError
from snipelead.voters.exceptions import VoterNotRunningError
from snipelead.voters.forwarding import BUSY_RETRY_AFTER_MS
from snipelead.voters.forwarding import MAX_WAITING_COMMANDS
from snipelead.voters.forwarding import PendingCommand
from snipelead.voters.messages import Claim
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import ProposeReply
from snipelead.voters.messages import ProposeResult
from snipelead.voters.messages import Replace
from snipelead.voters.messages import Settle
from snipelead.voters.messages import Submit
from snipelead.voters.notifier import Notifier

__all__ = ['Proposals']

PROPOSE_TIMEOUT_S = 3.0
MAX_BATCH_COMMANDS = 512

_encode = msgspec.msgpack.encode

# Raised before a command is sent or appended; after any other error it
# may be in a log.
_NOT_APPENDED_ERRORS = (
    NotLeaderError,
    NoQuorumError,
    RpcNotSentError,
    VoterNotRunningError,
    StorageWriteError,
    MemberReplacedError,
)

# Final, unless an earlier attempt may still take effect.
_FINAL_ERRORS = (OutcomeForgottenError, VoterBusyError, ClaimsFullError)


def _reply_type(command):
    match command:
        case Submit() | Replace():
            return SubmitReply
        case Claim():
            return ClaimReply
        case Settle():
            return SettleReply


class Proposals:
    """Brings commands into the log and returns their results.

    Parameters
    ----------
    replica : Replica
        This member.
    forwarding : Forwarding
        Way to the leader.
    election : Election
        Tells whether a majority is in touch.

    Attributes
    ----------
    quorum_lost : bool
        Whether too few members are left for any majority.
    """

    def __init__(self, replica, forwarding, election):
        self.replica = replica
        self.forwarding = forwarding
        self.election = election
        self.queue = []
        self.pending_by_index = {}
        self.queued = Notifier()
        self.quorum_lost = False
        replica.journal.on_result = self.resolve
        replica.on_step_down = self.fail_pending

    # -- at the leader -------------------------------------------------

    async def run(self):
        """Append queued commands together, one write for each batch."""
        while True:
            if not self.queue:
                await self.queued.wait()
                continue
            async with self.replica.exclusive():
                await self.append_batch()

    async def append_batch(self):
        """Append the oldest queued commands."""
        replica = self.replica
        batch = self.queue[:MAX_BATCH_COMMANDS]
        del self.queue[:MAX_BATCH_COMMANDS]
        if not batch or replica.leadership is None:
            return
        entries = tuple(
            replica.make_entry(offset, pending.command)
            for offset, pending in enumerate(batch)
        )
        for entry, pending in zip(entries, batch, strict=True):
            pending.term = entry.term
            self.pending_by_index[entry.index] = pending
        await replica.append_as_leader(entries)

    def resolve(self, entry, result):
        """Hand the result of an applied entry to its proposer."""
        pending = self.pending_by_index.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.resolve(result)
        else:
            pending.resolve(_make_outcome_unknown_error())

    def fail_pending(self):
        """Tell all proposers that leadership has ended."""
        queue, self.queue = self.queue, []
        for pending in queue:
            pending.resolve(NotLeaderError('leadership ended; not appended'))
        pending_by_index, self.pending_by_index = self.pending_by_index, {}
        for pending in pending_by_index.values():
            pending.resolve(_make_outcome_unknown_error())

    def is_busy(self):
        """Whether commands wait to be appended or applied."""
        return bool(self.queue or self.pending_by_index)

    def enqueue(self, commands):
        """Queue commands for the next append as leader.

        Parameters
        ----------
        commands : sequence of bytes
            Encoded commands.

        Returns
        -------
        list of PendingCommand

        Raises
        ------
        NotLeaderError, NoQuorumError, VoterBusyError
            None of the commands was or will be appended.
        """
        replica = self.replica
        replica.check_running()
        if replica.leadership is None or replica.leadership.transferring:
            raise NotLeaderError(f'{replica.member} is not the leader')
        if not self.election.has_majority_contact():
            raise self.make_no_quorum_error()
        if (
            len(self.queue) + len(self.pending_by_index)
            >= MAX_WAITING_COMMANDS
        ):
            raise VoterBusyError('too many commands wait', BUSY_RETRY_AFTER_MS)
        pendings = [PendingCommand(command) for command in commands]
        self.queue.extend(pendings)
        self.queued.notify()
        return pendings

    async def on_propose(self, request):
        """Answer commands that another voter forwarded."""
        results = []
        for pending in self.enqueue(request.commands):
            try:
                reply = await pending.wait()
            except SnipeleadError as error:
                results.append(ProposeResult(error=error.to_info()))
            else:
                results.append(ProposeResult(_encode(reply)))
        return ProposeReply(tuple(results))

    # -- anywhere ------------------------------------------------------

    async def propose(self, command):
        """Have a command applied once, by whichever voter leads.

        Parameters
        ----------
        command : Submit, Claim, Settle or Replace
            Idempotent command.

        Returns
        -------
        SubmitReply, ClaimReply or SettleReply

        Raises
        ------
        NoQuorumError, QuorumLostError
            The command was never appended.
        OutcomeUnknownError
            The command may have been appended, or its outcome is no
            longer on record.
        VoterBusyError, ClaimsFullError
            Nothing took effect.
        """
        encoded = encode_command(command)
        deadline = trio.current_time() + PROPOSE_TIMEOUT_S
        may_be_appended = False
        while True:
            try:
                with trio.move_on_at(deadline):
                    return await self.propose_once(command, encoded)
                may_be_appended = True
            except SnipeleadError as error:
                if isinstance(error, _FINAL_ERRORS) and not may_be_appended:
                    raise
                may_be_appended = may_be_appended or not isinstance(
                    error, _NOT_APPENDED_ERRORS
                )
            if trio.current_time() >= deadline or self.should_stop_waiting():
                raise (
                    _make_outcome_unknown_error()
                    if may_be_appended
                    else self.make_no_quorum_error()
                )
            await self.wait_leader_change()

    async def propose_once(self, command, encoded):
        """Try once with the leader that is known now."""
        replica = self.replica
        replica.check_running()
        if replica.leadership is not None:
            (pending,) = self.enqueue((encoded,))
            return await pending.wait()
        if replica.leader is None:
            raise NotLeaderError('no leader is known')
        reply = await self.forwarding.forward(encoded)
        return msgspec.msgpack.decode(reply, type=_reply_type(command))

    async def wait_leader_change(self):
        """Wait until the leader changes, at most for a heartbeat."""
        with trio.move_on_after(self.replica.heartbeat_s):
            await self.replica.leadership_changed.wait()

    def should_stop_waiting(self):
        """Whether waiting longer for a leader makes no sense."""
        replica = self.replica
        if self.quorum_lost:
            return True
        if replica.failure is not None:
            return True
        limit_s = 2 * replica.election_max_s
        silent_s = trio.current_time() - replica.leader_known_at
        return replica.leadership is None and silent_s > limit_s

    def make_no_quorum_error(self):
        """Return the error of a command that was never appended."""
        retry_ms = self.replica.settings.timings.election_max_ms
        if self.quorum_lost:
            return QuorumLostError(
                'a majority of the voters lost their disks', retry_ms
            )
        return NoQuorumError('no majority of voters is in touch', retry_ms)


def _make_outcome_unknown_error():
    return OutcomeUnknownError(
        'the answer was lost; the command may have taken effect'
    )
