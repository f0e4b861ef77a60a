"""Log replication from the leader to the other members."""

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
# A snapshot takes longer to send and to store than a batch of entries.
INSTALL_TIMEOUT_FACTOR = 10


class Replication:
    """Sends entries as leader and receives them as follower.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters, used for replication only.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers

    async def run(self):
        """Run a replication task per known control, until cancelled."""
        started = set()
        async with trio.open_nursery() as nursery:
            while True:
                for control_id in self.peers.control_ids:
                    if control_id not in started:
                        started.add(control_id)
                        nursery.start_soon(self.replicate_to, control_id)
                await self.peers.channel_added.wait()

    async def replicate_to(self, control_id):
        """Keep one control up to date while this member leads."""
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
        """Return the member of a control to send to, or None.

        A control has two members while one replaces the other. Only one of
        them replies, so each error about the wrong member selects the other.
        """
        configuration = self.replica.journal.configuration
        if configuration is None:
            return None
        members = [
            m for m in configuration.members if m.control_id == control_id
        ]
        return members[wrong_member_errors % len(members)] if members else None

    async def wait_send_needed(self):
        """Wait until a send is needed, at most for a heartbeat interval."""
        with trio.move_on_after(self.replica.heartbeat_s):
            await self.replica.send_needed.wait()

    def must_send(self, leadership, progress):
        """Return whether to send again before the next heartbeat is due."""
        replica = self.replica
        return replica.leadership is leadership and (
            progress.next_index <= replica.journal.log.last_index
            or progress.acked_barrier_round < leadership.barrier_round
            or progress.acked_commit_index < replica.journal.commit_index
        )

    async def send(self, leadership, member, progress):
        """Send a member what it lacks and handle its reply."""
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
        """Return a request with entries from the member's next index on."""
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
        """Return a request with a snapshot of the state."""
        replica = self.replica
        snapshot = replica.journal.make_snapshot()
        return InstallRequest(
            replica.cluster,
            member,
            leadership.term,
            replica.member,
            snapshot.index,
            snapshot.term,
            snapshot.state,
            leadership.barrier_round,
        )

    def handle_reply(self, leadership, progress, request, reply):
        """Update a member's progress from its reply and advance the commit.

        Raises
        ------
        InvariantError
            If the member acknowledges entries that the leader does not have.
        """
        replica = self.replica
        if reply.match_index > replica.journal.log.last_index:
            raise InvariantError(
                f'{reply.member} acknowledged entry {reply.match_index}, which'
                ' is past the end of the log'
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
        """Handle entries from the leader."""
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
        """Follow the sender unless its term is outdated."""
        replica = self.replica
        await replica.adopt_cluster(request.cluster, request.recipient)
        if request.term < replica.term:
            return False
        await replica.follow(request.term, request.leader)
        return True

    def _find_conflict_hint(self, index, term):
        """Return the last index at which the logs may agree.

        All entries of the conflicting term are skipped at once.
        """
        replica = self.replica
        index = min(index - 1, replica.journal.log.last_index)
        while index > replica.journal.commit_index and (
            replica.journal.log.term_at(index) == term
        ):
            index -= 1
        return index

    async def on_install(self, request):
        """Handle a snapshot from the leader."""
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
        """Confirm leadership by a round of messages to a majority.

        This is the read barrier of Raft, which yields the read index.

        Returns
        -------
        LogIndex or None
            Index that covers everything accepted before the call; None if
            leadership ended first.
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
        """Handle a follower's request for a read barrier."""
        self.replica.check_running()
        index = await self.confirm_leadership()
        if index is None:
            raise NotLeaderError(f'{self.replica.member} is not the leader')
        return BarrierReply(index)
