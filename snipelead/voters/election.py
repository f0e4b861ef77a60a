"""Elections: pre-vote, vote and check-quorum."""

import trio

from snipelead.exceptions import SnipeleadError
from snipelead.voters.exceptions import MemberReplacedError
from snipelead.voters.messages import VoteReply
from snipelead.voters.messages import VoteRequest
from snipelead.voters.replica import Role
from snipelead.voters.storage import Vote

__all__ = ['Election']


class Election:
    """Elects a leader when none is heard of, and deposes one cut off.

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
        """Watch the election timeout until cancelled."""
        replica = self.replica
        while True:
            if replica.role is Role.LEADER:
                self.check_quorum()
                await trio.sleep(replica.heartbeat_s)
            elif trio.current_time() < replica.deadline:
                await trio.sleep_until(replica.deadline)
            else:
                replica.reset_deadline()
                if replica.is_voter:
                    await self.campaign()

    def check_quorum(self):
        """Step down when a majority or the own disk is silent too long."""
        replica = self.replica
        writing_s = trio.current_time() - replica.leadership.writing_since
        if not self.is_in_touch() or writing_s > self.limit_s:
            replica.step_down()

    @property
    def limit_s(self):
        """Longest silence that a leader tolerates, in seconds."""
        return self.replica.election_max_s

    def is_in_touch(self):
        """Whether a majority answered within the election timeout."""
        replica = self.replica
        return replica.leadership.is_in_touch(
            replica.journal.configuration, self.limit_s
        )

    async def campaign(self, trial=True):
        """Try to become leader.

        Parameters
        ----------
        trial : bool
            Whether a majority must first agree that there is no leader;
            not so when the leader itself hands over.
        """
        replica = self.replica
        replica.leader = None
        replica.changed.notify()
        term = replica.term + 1
        if trial and not await self.gather(term, trial=True):
            return
        async with replica.exclusive():
            led_again = trial and replica.leader is not None
            if replica.term + 1 != term or led_again:
                return
            await replica.save_vote(Vote(term, replica.member))
            replica.leader = None
            replica.role = Role.CANDIDATE
            replica.reset_deadline()
        if not await self.gather(term, trial=False):
            return
        async with replica.exclusive():
            if replica.term == term and replica.role is Role.CANDIDATE:
                await replica.lead()

    async def gather(self, term, trial):
        """Ask all voters at once.

        Returns
        -------
        bool
            Whether a majority grants the vote.
        """
        replica = self.replica
        configuration = replica.journal.configuration
        granted = {replica.member}
        if configuration.majority == 1:
            return True

        async def ask(member):
            if await self.ask(member, term, trial):
                granted.add(member)
                if len(granted) >= configuration.majority:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for member in configuration.voters:
                if member != replica.member:
                    nursery.start_soon(ask, member)
        return len(granted) >= configuration.majority

    async def ask(self, member, term, trial):
        """Ask one voter; returns whether it grants the vote."""
        replica = self.replica
        request = VoteRequest(
            replica.cluster,
            member,
            term,
            replica.member,
            replica.journal.log.last_index,
            replica.journal.log.last_term,
            trial,
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
                    f'{replica.member} was replaced; its data folder is'
                    ' obsolete'
                )
            )
        return reply.granted and reply.member == member

    async def on_vote(self, request):
        """Answer a request for a vote."""
        replica = self.replica
        async with replica.exclusive():
            if request.trial:
                return self._answer_trial(request)
            await replica.adopt_cluster(request.cluster, request.to)
            if request.term > replica.term:
                await replica.adopt_term(request.term)
            granted = (
                request.term == replica.term
                and replica.storage.vote.candidate in (None, request.candidate)
                and self._is_new_enough(request)
            )
            if granted:
                await replica.save_vote(Vote(request.term, request.candidate))
                replica.reset_deadline()
            return self._reply(request, granted)

    def _answer_trial(self, request):
        replica = self.replica
        # A member without a leader's recent word only; a returning voter
        # must not depose a leader that the others hear.
        silent = (
            trio.current_time() - replica.heard_at >= replica.election_min_s
        )
        granted = (
            request.to == replica.member
            and request.cluster == (replica.cluster or request.cluster)
            and request.term > replica.term
            and silent
            and replica.role is not Role.LEADER
            and self._is_new_enough(request)
        )
        return self._reply(request, granted)

    def _is_new_enough(self, request):
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
        # A candidate with newer entries may know a newer configuration.
        return (
            request.cluster == replica.cluster
            and request.last_index <= replica.journal.commit_index
            and candidate not in committed.members
            and committed.find_newest(candidate.control_id) is not None
        )
