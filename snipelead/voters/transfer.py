"""Leadership transfer before a planned stop of the leader."""

import trio

from snipelead.exceptions import SnipeleadError
from snipelead.voters.messages import LeadReply
from snipelead.voters.messages import LeadRequest

__all__ = ['LeadershipTransfer']

TRANSFER_TIMEOUT_S = 2.0


class LeadershipTransfer:
    """Transfers leadership without waiting for an election timeout.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters.
    proposals : Proposals
        Commands that must be completed first.
    election : Election
        Runs the campaign of a successor.
    """

    def __init__(self, replica, peers, proposals, election):
        self.replica = replica
        self.peers = peers
        self.proposals = proposals
        self.election = election

    async def transfer(self):
        """Complete the pending commands, then transfer leadership.

        Returns once this member is not the leader, or if no other voter took
        over within the timeout; it then accepts commands again.
        """
        leadership = self.replica.leadership
        if leadership is None:
            return
        leadership.transferring = True
        try:
            with trio.move_on_after(TRANSFER_TIMEOUT_S):
                while self.proposals.is_busy():
                    await self.replica.journal.applied.wait()
                await self.appoint_successor(leadership)
        finally:
            # If there was no successor, this member accepts commands again.
            leadership.transferring = False

    async def appoint_successor(self, leadership):
        """Ask voters with a complete log until one of them leads."""
        replica = self.replica
        while replica.leadership is leadership:
            for member in self.find_successors(leadership):
                request = LeadRequest(replica.cluster, member, replica.term)
                try:
                    await self.peers.call(
                        member.control_id, request, TRANSFER_TIMEOUT_S
                    )
                except SnipeleadError:
                    continue
                if replica.leadership is not leadership:
                    return
            with trio.move_on_after(replica.heartbeat_s):
                await replica.journal.applied.wait()

    def find_successors(self, leadership):
        """Return the other voters that have the complete log."""
        journal = self.replica.journal
        return [
            member
            for member in journal.configuration.voters
            if member != self.replica.member
            and leadership.progress_of(member).match_index
            == journal.log.last_index
        ]

    async def on_lead(self, request):
        """Handle a request to take over leadership: campaign at once."""
        replica = self.replica
        replica.check_running()
        if (
            request.cluster == replica.cluster
            and request.recipient == replica.member
            and request.term == replica.term
            and replica.is_voter
        ):
            await self.election.campaign(pre_vote=False)
        return LeadReply(replica.leadership is not None)
