"""Leader elections with pre-vote and check-quorum."""

import trio

from snipelead.exceptions import SnipeleadError
from snipelead.voters.exceptions import MemberReplacedError
from snipelead.voters.messages import VoteReply
from snipelead.voters.messages import VoteRequest
from snipelead.voters.replica import Role
from snipelead.voters.storage import Vote

__all__ = ['Election']


class Election:
    """Starts elections, and steps down when the majority is out of contact.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers

    async def run(self):
        """Check the quorum as leader, otherwise await the election timeout."""
        replica = self.replica
        while True:
            if replica.role is Role.LEADER:
                self.check_quorum()
                await trio.sleep(replica.heartbeat_s)
            elif trio.current_time() < replica.election_deadline:
                await trio.sleep_until(replica.election_deadline)
            else:
                replica.reset_election_deadline()
                if replica.is_voter:
                    await self.campaign()

    def check_quorum(self):
        """Step down if no majority replies or a log write takes too long."""
        replica = self.replica
        writing_s = trio.current_time() - replica.leadership.write_started_at
        if (
            not self.has_majority_contact()
            or writing_s > self.contact_timeout_s
        ):
            replica.step_down()

    @property
    def contact_timeout_s(self):
        """Time in seconds after which the leader gives up leadership.

        It limits both the time without replies from a majority and the time
        of one log write.
        """
        return self.replica.election_max_s

    def has_majority_contact(self):
        """Return whether a majority replied within the contact timeout."""
        replica = self.replica
        return replica.leadership.has_majority_contact(
            replica.journal.configuration, self.contact_timeout_s
        )

    async def campaign(self, pre_vote=True):
        """Campaign to become the leader of the next term.

        Parameters
        ----------
        pre_vote : bool
            Whether a majority must first agree that there is no leader. It is
            skipped when the leader itself transfers leadership.
        """
        replica = self.replica
        replica.leader = None
        replica.leadership_changed.notify()
        term = replica.term + 1
        if pre_vote and not await self.gather_votes(term, pre_vote=True):
            return
        async with replica.exclusive():
            leader_appeared = pre_vote and replica.leader is not None
            if replica.term + 1 != term or leader_appeared:
                return
            await replica.save_vote(Vote(term, replica.member))
            replica.leader = None
            replica.role = Role.CANDIDATE
            replica.reset_election_deadline()
        if not await self.gather_votes(term, pre_vote=False):
            return
        async with replica.exclusive():
            if replica.term == term and replica.role is Role.CANDIDATE:
                await replica.become_leader()

    async def gather_votes(self, term, pre_vote):
        """Request votes from all voters in parallel.

        Returns
        -------
        bool
            Whether a majority granted its vote.
        """
        replica = self.replica
        configuration = replica.journal.configuration
        granted = {replica.member}
        if configuration.majority == 1:
            return True

        async def collect_vote(member):
            if await self.request_vote(member, term, pre_vote):
                granted.add(member)
                if len(granted) >= configuration.majority:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for member in configuration.voters:
                if member != replica.member:
                    nursery.start_soon(collect_vote, member)
        return len(granted) >= configuration.majority

    async def request_vote(self, member, term, pre_vote):
        """Request the vote of one member; return whether it is granted."""
        replica = self.replica
        request = VoteRequest(
            replica.cluster,
            member,
            term,
            replica.member,
            replica.journal.log.last_index,
            replica.journal.log.last_term,
            pre_vote,
        )
        try:
            reply = await self.peers.call(
                member.control_id,
                request,
                replica.election_min_s,
            )
        except SnipeleadError:
            return False
        if reply.term > replica.term:
            async with replica.exclusive():
                if reply.term > replica.term:
                    await replica.adopt_term(reply.term)
        if reply.replaced:
            replica.fail(
                MemberReplacedError(
                    f'member {replica.member} was replaced by another one; its'
                    ' data directory is obsolete'
                )
            )
        return reply.granted and reply.member == member

    async def on_vote(self, request):
        """Handle a request for a vote."""
        replica = self.replica
        async with replica.exclusive():
            if request.pre_vote:
                return self._answer_pre_vote(request)
            await replica.adopt_cluster(request.cluster, request.recipient)
            if request.term > replica.term:
                await replica.adopt_term(request.term)
            granted = (
                request.term == replica.term
                and replica.storage.vote.candidate in (None, request.candidate)
                and self._is_log_up_to_date(request)
            )
            if granted:
                await replica.save_vote(Vote(request.term, request.candidate))
                replica.reset_election_deadline()
            return self._reply(request, granted)

    def _answer_pre_vote(self, request):
        replica = self.replica
        # Granted only if this member has not heard from a leader recently, so
        # that a returning voter does not depose a leader that the others
        # still follow.
        leader_silent = (
            trio.current_time() - replica.leader_contact_at
            >= replica.election_min_s
        )
        granted = (
            request.recipient == replica.member
            and request.cluster == (replica.cluster or request.cluster)
            and request.term > replica.term
            and leader_silent
            and replica.role is not Role.LEADER
            and self._is_log_up_to_date(request)
        )
        return self._reply(request, granted)

    def _is_log_up_to_date(self, request):
        log = self.replica.journal.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def _reply(self, request, granted):
        replica = self.replica
        return VoteReply(
            replica.term,
            replica.member,
            granted,
            self._is_replaced(request),
        )

    def _is_replaced(self, request):
        replica = self.replica
        candidate = request.candidate
        committed = replica.journal.state.configuration
        # Not decided for a candidate with newer entries, which may know a
        # newer configuration.
        return (
            request.cluster == replica.cluster
            and request.last_index <= replica.journal.commit_index
            and candidate not in committed.members
            and committed.find_newest(candidate.control_id) is not None
        )
