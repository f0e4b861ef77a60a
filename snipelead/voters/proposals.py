"""Proposal of commands: group commit at the leader, forwarding elsewhere."""

import msgspec
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeForgottenError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import ClaimReply
from snipelead.messages import OrderReply
from snipelead.messages import SettleReply
from snipelead.messages import SubmitReply
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.utils.decoding import decode_msgpack
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
from snipelead.voters.messages import AdvanceRollout
from snipelead.voters.messages import Claim
from snipelead.voters.messages import decode_command
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import ProposeReply
from snipelead.voters.messages import ProposeResult
from snipelead.voters.messages import Replace
from snipelead.voters.messages import Settle
from snipelead.voters.messages import StartRollout
from snipelead.voters.messages import Submit
from snipelead.voters.notifier import Notifier

__all__ = ['Proposals']

PROPOSE_TIMEOUT_S = 3.0
MAX_BATCH_COMMANDS = 512

_encode = msgspec.msgpack.encode

# Errors raised before a command is sent or appended. After any other error
# the command may be in a log.
_NOT_APPENDED_ERRORS = (
    NotLeaderError,
    NoQuorumError,
    RpcNotSentError,
    VoterNotRunningError,
    StorageWriteError,
    MemberReplacedError,
)

# Errors that end the retries, unless an earlier attempt may still take effect.
_FINAL_ERRORS = (OutcomeForgottenError, VoterBusyError, ClaimsFullError)


def _reply_type(command):
    match command:
        case Submit() | Replace():
            return SubmitReply
        case Claim():
            return ClaimReply
        case Settle():
            return SettleReply
        case StartRollout() | AdvanceRollout():
            return OrderReply


class Proposals:
    """Gets commands appended to the log and returns their results.

    Parameters
    ----------
    replica : Replica
        This member.
    forwarding : Forwarding
        Sends commands to the leader.
    election : Election
        Knows whether this leader has contact with a majority.

    Attributes
    ----------
    quorum_lost : bool
        Whether too many voters lost their disks for a majority.
    queue : list of PendingCommand
        Commands to append while this member leads.
    pending_by_index : dict of LogIndex to PendingCommand
        Appended commands whose results are pending.
    """

    def __init__(self, replica, forwarding, election):
        self.replica = replica
        self.forwarding = forwarding
        self.election = election
        self.queue = []
        self.pending_by_index = {}
        self.queued = Notifier()
        self.quorum_lost = False
        replica.journal.on_entry_applied = self.resolve
        replica.on_step_down = self.fail_pending

    # -- as leader -----------------------------------------------------

    async def run(self):
        """Append queued commands in batches, with one write per batch."""
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
        """Pass the result of an applied entry to its proposer."""
        pending = self.pending_by_index.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.resolve(result)
        else:
            pending.resolve(_make_outcome_unknown_error())

    def fail_pending(self):
        """Fail all pending commands, since leadership has ended."""
        queue, self.queue = self.queue, []
        for pending in queue:
            pending.resolve(
                NotLeaderError(
                    'leadership ended before the command was appended'
                )
            )
        pending_by_index, self.pending_by_index = self.pending_by_index, {}
        for pending in pending_by_index.values():
            pending.resolve(_make_outcome_unknown_error())

    def is_busy(self):
        """Return whether commands are waiting to be appended or applied."""
        return bool(self.queue or self.pending_by_index)

    def enqueue(self, commands):
        """Queue commands for the next append by this leader.

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
            If the commands are refused; none of them will be appended.
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
            raise VoterBusyError(
                'too many commands are pending', BUSY_RETRY_AFTER_MS
            )
        pendings = [PendingCommand(command) for command in commands]
        self.queue.extend(pendings)
        self.queued.notify()
        return pendings

    async def on_propose(self, request):
        """Handle commands that another voter forwarded.

        Raises
        ------
        RpcInternalError
            If a command cannot be decoded. Once in the log, it would end each
            voter that applies it, at each start.
        """
        try:
            for command in request.commands:
                decode_command(command)
        except msgspec.DecodeError as error:
            raise RpcInternalError(
                f'a forwarded command cannot be decoded: {error}'
            ) from error
        results = []
        for pending in self.enqueue(request.commands):
            try:
                reply = await pending.wait()
            except SnipeleadError as error:
                results.append(ProposeResult(error=error.to_info()))
            else:
                results.append(ProposeResult(_encode(reply)))
        return ProposeReply(tuple(results))

    # -- as leader or follower -----------------------------------------

    async def propose(self, command):
        """Get a command applied by the current leader, retrying as needed.

        Parameters
        ----------
        command : Submit, Claim, Settle or Replace
            Command; it must be idempotent.

        Returns
        -------
        SubmitReply, ClaimReply or SettleReply

        Raises
        ------
        NoQuorumError, QuorumLostError
            If the command was never appended.
        OutcomeUnknownError
            If the command may have been appended, or its outcome is no
            longer recorded.
        VoterBusyError, ClaimsFullError
            If the command was refused; it had no effect.
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
        """Propose a command once, to the leader known at present."""
        replica = self.replica
        replica.check_running()
        if replica.leadership is not None:
            (pending,) = self.enqueue((encoded,))
            return await pending.wait()
        if replica.leader is None:
            raise NotLeaderError('no leader is known at present')
        reply = await self.forwarding.forward(encoded)
        try:
            return decode_msgpack(reply, type=_reply_type(command))
        except msgspec.DecodeError as error:
            raise RpcInternalError(
                f'cannot decode the result of the leader: {error}'
            ) from error

    async def wait_leader_change(self):
        """Wait until the leader changes, at most for a heartbeat interval."""
        with trio.move_on_after(self.replica.heartbeat_s):
            await self.replica.leadership_changed.wait()

    def should_stop_waiting(self):
        """Return whether no leader is to be expected any more."""
        replica = self.replica
        if self.quorum_lost:
            return True
        if replica.failure is not None:
            return True
        limit_s = 2 * replica.election_max_s
        silent_s = trio.current_time() - replica.leader_known_at
        return replica.leadership is None and silent_s > limit_s

    def make_no_quorum_error(self):
        """Return the error for a command that was never appended."""
        retry_ms = self.replica.settings.timings.election_max_ms
        if self.quorum_lost:
            return QuorumLostError(
                'a majority of the voters lost their disks', retry_ms
            )
        return NoQuorumError(
            'no majority of the voters is reachable', retry_ms
        )


def _make_outcome_unknown_error():
    return OutcomeUnknownError(
        'the reply was lost; the command may have taken effect'
    )
