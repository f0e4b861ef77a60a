"""Replication from the leader, one task for each other voter."""

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.exceptions import WrongMemberError
from snipelead.voters.messages import AppendReply
from snipelead.voters.messages import AppendRequest
from snipelead.voters.messages import BarrierReply
from snipelead.voters.messages import InstallReply
from snipelead.voters.messages import InstallRequest
from snipelead.voters.storage import Snapshot

__all__ = ['Replication']

MAX_ENTRIES_PER_APPEND = 512
# A whole state takes longer to send and store than a few entries.
INSTALL_TIMEOUT_FACTOR = 10


class Replication:
    """Sends entries as leader and takes them as follower.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters, used by replication alone.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers

    async def run(self):
        """Run one task for each other voter until cancelled."""
        started = set()
        async with trio.open_nursery() as nursery:
            while True:
                for control_id in self.peers.control_ids:
                    if control_id not in started:
                        started.add(control_id)
                        nursery.start_soon(self.replicate_to, control_id)
                await self.peers.channel_added.wait()

    async def replicate_to(self, control_id):
        """Keep one voter in step while this member leads."""
        replica = self.replica
        wrong_member_errors = 0
        while True:
            leadership = replica.leadership
            member = self.choose_member(control_id, wrong_member_errors)
            if leadership is None or member is None:
                await replica.send_needed.wait()
                continue
            progress = leadership.progress_of(member)
            try:
                await self.send(leadership, member, progress)
            except InvariantError:
                raise
            except SnipeleadError as error:
                wrong_member_errors += isinstance(error, WrongMemberError)
                await self.wait_send_needed()
                continue
            if not self.must_send(leadership, progress):
                await self.wait_send_needed()

    def choose_member(self, control_id, wrong_member_errors):
        """Return a member of a control, or None.

        A control has two while one replaces the other; only one of them
        answers, and each miss leads to the other one.
        """
        configuration = self.replica.journal.configuration
        if configuration is None:
            return None
        members = [
            m for m in configuration.members if m.control_id == control_id
        ]
        return members[wrong_member_errors % len(members)] if members else None

    async def wait_send_needed(self):
        """Wait until a send is needed, at most until the next heartbeat."""
        with trio.move_on_after(self.replica.heartbeat_s):
            await self.replica.send_needed.wait()

    def must_send(self, leadership, progress):
        """Whether there is something to send before the next heartbeat."""
        replica = self.replica
        return replica.leadership is leadership and (
            progress.next_index <= replica.journal.log.last_index
            or progress.acked_barrier_round < leadership.barrier_round
            or progress.acked_commit_index < replica.journal.commit_index
        )

    async def send(self, leadership, member, progress):
        """Send what a member lacks and take its answer."""
        replica = self.replica
        timeout_s = replica.election_min_s
        if progress.next_index <= replica.journal.log.base_index:
            request = self.make_install_request(leadership, member)
            timeout_s *= INSTALL_TIMEOUT_FACTOR
        else:
            request = self.make_append_request(leadership, member, progress)
        reply = await self.peers.call(member.control_id, request, timeout_s)
        if reply.term > replica.term:
            async with replica.exclusive():
                if reply.term > replica.term:
                    await replica.adopt_term(reply.term)
        if replica.leadership is leadership and reply.member == member:
            with replica.stop_on_failure():
                self.handle_reply(leadership, progress, request, reply)

    def make_append_request(self, leadership, member, progress):
        """Return the entries from the member's next index on."""
        replica = self.replica
        previous = progress.next_index - 1
        return AppendRequest(
            replica.cluster,
            member,
            leadership.term,
            replica.member,
            previous,
            replica.journal.log.term_at(previous),
            replica.journal.log.read(
                progress.next_index, MAX_ENTRIES_PER_APPEND
            ),
            replica.journal.commit_index,
            leadership.barrier_round,
        )

    def make_install_request(self, leadership, member):
        """Return the whole state."""
        replica = self.replica
        saved = replica.journal.make_snapshot()
        return InstallRequest(
            replica.cluster,
            member,
            leadership.term,
            replica.member,
            saved.index,
            saved.term,
            saved.state,
            leadership.barrier_round,
        )

    def handle_reply(self, leadership, progress, request, reply):
        """Note a member's answer and commit what a majority has.

        Raises
        ------
        InvariantError
            If the member claims entries that the leader never had.
        """
        replica = self.replica
        if reply.match_index > replica.journal.log.last_index:
            raise InvariantError(
                f'{reply.member} acknowledged entry {reply.match_index}'
            )
        progress.replied_at = trio.current_time()
        progress.acked_barrier_round = max(
            progress.acked_barrier_round, request.barrier_round
        )
        if isinstance(reply, AppendReply) and not reply.success:
            progress.next_index = max(
                progress.match_index + 1,
                min(progress.next_index - 1, reply.match_index + 1),
            )
        else:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            if isinstance(request, AppendRequest):
                progress.acked_commit_index = request.commit_index
        replica.advance_commit()
        replica.journal.applied.notify()

    async def on_append(self, request):
        """Take entries from the leader."""
        replica = self.replica
        async with replica.exclusive():
            if not await self._accept(request):
                return AppendReply(replica.term, replica.member, False, 0)
            previous_term = replica.journal.log.term_at(request.previous_index)
            compacted = request.previous_index < replica.journal.log.base_index
            if not compacted and previous_term != request.previous_term:
                hint = self._find_conflict_hint(
                    request.previous_index, previous_term
                )
                return AppendReply(replica.term, replica.member, False, hint)
            await replica.journal.append_as_follower(request.entries)
            match_index = request.previous_index + len(request.entries)
            replica.journal.commit_to(min(request.commit_index, match_index))
            return AppendReply(replica.term, replica.member, True, match_index)

    async def _accept(self, request):
        """Follow the sender unless its term is over."""
        replica = self.replica
        await replica.adopt_cluster(request.cluster, request.recipient)
        if request.term < replica.term:
            return False
        await replica.follow(request.term, request.leader)
        return True

    def _find_conflict_hint(self, index, term):
        """Return the last index that may agree with the leader's log."""
        replica = self.replica
        index = min(index - 1, replica.journal.log.last_index)
        while index > replica.journal.commit_index and (
            replica.journal.log.term_at(index) == term
        ):
            index -= 1
        return index

    async def on_install(self, request):
        """Take over a whole state from the leader."""
        replica = self.replica
        async with replica.exclusive():
            if not await self._accept(request):
                return InstallReply(replica.term, replica.member, 0)
            await replica.journal.install(
                Snapshot(request.last_index, request.last_term, request.state)
            )
            return InstallReply(
                replica.term, replica.member, request.last_index
            )

    async def confirm_leadership(self):
        """Prove this leader current by a round to a majority.

        Returns
        -------
        LogIndex or None
            All that was accepted before the call is at or below this
            index; None when leadership ended first.
        """
        replica = self.replica
        leadership = replica.leadership
        while replica.leadership is leadership and leadership is not None:
            if replica.journal.commit_index >= leadership.first_index:
                break
            await replica.journal.applied.wait()
        if leadership is None or replica.leadership is not leadership:
            return None
        index = replica.journal.commit_index
        leadership.barrier_round += 1
        needed = leadership.barrier_round
        replica.send_needed.notify()
        while replica.leadership is leadership:
            if (
                leadership.majority_barrier_round(
                    replica.journal.configuration
                )
                >= needed
            ):
                return index
            await replica.journal.applied.wait()
        return None

    async def on_barrier(self, request):
        """Answer a follower's request for a read barrier."""
        self.replica.check_running()
        index = await self.confirm_leadership()
        if index is None:
            raise NotLeaderError(f'{self.replica.member} is not the leader')
        return BarrierReply(index)
