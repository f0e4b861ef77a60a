"""Planned hand-over of leadership, before a leader stops."""

import trio

from snipelead.exceptions import SnipeleadError
from snipelead.voters.messages import LeadReply
from snipelead.voters.messages import LeadRequest

__all__ = ['LeadershipTransfer']

TRANSFER_TIMEOUT_S = 2.0


class LeadershipTransfer:
    """Lets another voter lead without waiting for an election timeout.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters.
    proposals : Proposals
        Commands that must be finished first.
    election : Election
        Elects the successor.
    """

    def __init__(self, replica, peers, proposals, election):
        self.replica = replica
        self.peers = peers
        self.proposals = proposals
        self.election = election

    async def transfer(self):
        """Finish the commands under way, then stop leading.

        Returns when this member does not lead, or when no other voter could
        take over in time; it then takes commands again.
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
            # Without a successor this member goes on with its work.
            leadership.transferring = False

    async def appoint_successor(self, leadership):
        """Ask voters that have the whole log until one of them leads."""
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
        """Return the other voters whose logs are complete."""
        journal = self.replica.journal
        return [
            member
            for member in journal.configuration.voters
            if member != self.replica.member
            and leadership.progress_of(member).match_index
            == journal.log.last_index
        ]

    async def on_lead(self, request):
        """Campaign at once, since the leader asks for it."""
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
