"""Forwarding of commands to the leader in batches."""

import trio

from snipelead.exceptions import error_from_info
from snipelead.exceptions import SnipeleadError
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.exceptions import VoterBusyError
from snipelead.voters.messages import ProposeRequest
from snipelead.voters.notifier import Notifier

__all__ = ['Forwarding', 'PendingCommand']

MAX_BATCH_COMMANDS = 256
MAX_WAITING_COMMANDS = 20_000
BUSY_RETRY_AFTER_MS = 200
CONCURRENT_CALLS = 2


class PendingCommand:
    """Command whose result is pending.

    Parameters
    ----------
    command : bytes
        Encoded command.

    Attributes
    ----------
    term : Term or None
        Term of the log entry that contains the command, once appended.
    abandoned : bool
        Whether no task waits for the result any more.
    """

    def __init__(self, command):
        self.command = command
        self.term = None
        self.abandoned = False
        self.result = None
        self.done = trio.Event()

    def resolve(self, result):
        """Set the result, which may be an error, and wake the waiter."""
        self.result = result
        self.done.set()

    async def wait(self):
        """Return the result, or raise it if it is an error."""
        await self.done.wait()
        if isinstance(self.result, SnipeleadError):
            raise self.result
        return self.result


class Forwarding:
    """Sends commands to the leader; queued commands share a call.

    Parameters
    ----------
    replica : Replica
        This member; it is not the leader when commands are forwarded.
    peers : PeerChannels
        Channels to the other voters.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers
        self.queue = []
        self.queued = Notifier()

    async def run(self):
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENT_CALLS):
                nursery.start_soon(self.run_sender)

    async def run_sender(self):
        """Send batches one after the other."""
        while True:
            if not self.queue:
                await self.queued.wait()
                continue
            batch = self.queue[:MAX_BATCH_COMMANDS]
            del self.queue[:MAX_BATCH_COMMANDS]
            await self.send([p for p in batch if not p.abandoned])

    async def forward(self, command):
        """Forward a command to the leader and return its result.

        Parameters
        ----------
        command : bytes
            Encoded command.

        Returns
        -------
        bytes
            Encoded reply of the state machine.

        Raises
        ------
        VoterBusyError
            If too many commands are queued; this one was not sent.
        SnipeleadError
            If the leader or the call to it failed.
        """
        if len(self.queue) >= MAX_WAITING_COMMANDS:
            raise VoterBusyError(
                'too many commands are queued', BUSY_RETRY_AFTER_MS
            )
        pending = PendingCommand(command)
        self.queue.append(pending)
        self.queued.notify()
        try:
            return await pending.wait()
        finally:
            pending.abandoned = not pending.done.is_set()

    async def send(self, batch):
        """Send a batch and set the results of its commands."""
        leader = self.replica.leader
        if not batch:
            return
        if leader is None or leader == self.replica.member:
            results = [
                NotLeaderError('the leader changed before sending')
            ] * len(batch)
        else:
            results = await self.call(leader, batch)
        for pending, result in zip(batch, results, strict=True):
            pending.resolve(result)

    async def call(self, leader, batch):
        """Return a result or an error for each command of a batch."""
        request = ProposeRequest(tuple(p.command for p in batch))
        timeout_s = self.replica.election_max_s
        try:
            reply = await self.peers.call(
                leader.control_id, request, timeout_s
            )
        except SnipeleadError as error:
            return [error] * len(batch)
        if len(reply.results) != len(batch):
            error = RpcInternalError(
                f'{leader.control_id} returned {len(reply.results)} results'
                f' for {len(batch)} commands'
            )
            return [error] * len(batch)
        return [
            r.reply if r.error is None else error_from_info(r.error)
            for r in reply.results
        ]
