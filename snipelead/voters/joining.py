"""Founding of a cluster, and joining of an existing one.

A voter with an empty data directory does one or the other.
"""

import secrets

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.types import MembershipSource
from snipelead.voters.events import CLUSTER_FOUNDED
from snipelead.voters.events import JOIN_REQUESTED
from snipelead.voters.events import QUORUM_LOST
from snipelead.voters.events import WAITING_FOR_VOTERS
from snipelead.voters.journal import FIRST_INDEX
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import JoinRequest
from snipelead.voters.messages import ProbeReply
from snipelead.voters.messages import ProbeRequest
from snipelead.voters.peers import voting_peers
from snipelead.voters.state import State
from snipelead.voters.storage import Identity
from snipelead.voters.storage import Snapshot
from snipelead.voters.storage import Vote

__all__ = ['Joining']

CLUSTER_ID_BYTES = 8
PROBE_ROUNDS_BEFORE_WARNING = 5


class Joining:
    """Makes this member part of a cluster while it is not a voter.

    Parameters
    ----------
    replica : Replica
        This member.
    peers : PeerChannels
        Channels to the other voters.
    proposals : Proposals
        Informed when a majority of the voters is lost.
    """

    def __init__(self, replica, peers, proposals):
        self.replica = replica
        self.peers = peers
        self.proposals = proposals

    async def run(self):
        """Probe the other voters while this member is not a voter.

        Learners go on probing: the entry that added them may be lost if it
        was not committed.
        """
        probe_rounds = 0
        while True:
            if self.replica.is_voter and not self.may_be_removed():
                probe_rounds = 0
                self.proposals.quorum_lost = False
            else:
                probe_rounds += 1
                await self.join_or_found(probe_rounds)
            await trio.sleep(self.replica.election_min_s)

    def may_be_removed(self):
        """Return whether this voter may have been removed from the cluster.

        That is possible if it has known no leader for a long time.
        """
        replica = self.replica
        if replica.settings.membership is MembershipSource.FIXED:
            return False
        silent_s = trio.current_time() - replica.leader_known_at
        return (
            replica.leadership is None
            and silent_s > 2 * replica.election_max_s
        )

    async def join_or_found(self, probe_rounds):
        """Probe the other voters once and act on their replies."""
        replies = await self.probe_all()
        if self.replica.is_voter and not self.may_be_removed():
            return
        if probe_rounds == PROBE_ROUNDS_BEFORE_WARNING:
            log_event(WAITING_FOR_VOTERS, answered=sorted(replies))
        await self.act_on_replies(replies)

    async def probe_all(self):
        """Return the probe replies by control id, with this member's own."""
        replies = {self.replica.member.control_id: self.make_probe_reply()}

        async def probe(control_id):
            try:
                replies[control_id] = await self.peers.call(
                    control_id, ProbeRequest(), self.replica.election_min_s
                )
            except SnipeleadError:
                return

        async with trio.open_nursery() as nursery:
            for control_id in self.peers.control_ids:
                nursery.start_soon(probe, control_id)
        return replies

    async def act_on_replies(self, replies):
        """Found a cluster, request to join one, or wait."""
        replica = self.replica
        configured_replies = [
            r for r in replies.values() if r.configuration is not None
        ]
        if not configured_replies:
            if self.should_found_cluster(replies):
                await self.found_cluster(replies)
            return
        for reply in configured_replies:
            self.peers.add_members(reply.configuration.members)
        newest = max(configured_replies, key=lambda r: (r.term, r.index))
        self.update_quorum_lost(replies, newest.configuration)
        if replica.member not in newest.configuration.members:
            await self.request_join(configured_replies)

    def should_found_cluster(self, replies):
        """Return whether this member is to found a cluster.

        Called if all replies report empty logs. All voters in the settings
        must have replied; the one with the lowest id founds.
        """
        settings = self.replica.settings
        if not settings.may_found:
            return False
        voters = {p.control_id for p in voting_peers(settings)}
        own = self.replica.member.control_id
        return voters <= set(replies) and own == min(voters)

    async def found_cluster(self, replies):
        """Found a cluster with the voters in the settings as its members."""
        replica = self.replica
        voters = {p.control_id for p in voting_peers(replica.settings)}
        members = tuple(
            sorted(r.member for i, r in replies.items() if i in voters)
        )
        term = max(r.term for r in replies.values()) + 1
        state = State(Configuration(members))
        snapshot = Snapshot(FIRST_INDEX, term, state.encode())
        cluster = secrets.token_hex(CLUSTER_ID_BYTES)
        async with replica.exclusive():
            if (
                replica.journal.configuration is not None
                or replica.term >= term
            ):
                return
            await replica.save_vote(Vote(term))
            await replica.storage.save_identity(
                Identity(replica.member, cluster)
            )
            await replica.journal.install(snapshot)
            replica.election_deadline = trio.current_time()
        if replica.journal.configuration is None:
            raise InvariantError('no configuration after founding a cluster')
        log_event(CLUSTER_FOUNDED, voters=[str(m) for m in members])

    def update_quorum_lost(self, replies, configuration):
        """Update whether too many voters lost their disks for a majority.

        A voter lost its disk if its control replies as another member.
        """
        replying_members = {reply.member for reply in replies.values()}
        voters_with_reply = {
            m for m in configuration.voters if m.control_id in replies
        }
        lost_count = len(voters_with_reply - replying_members)
        remaining = len(configuration.voters) - lost_count
        quorum_lost = remaining < configuration.majority
        if quorum_lost and not self.proposals.quorum_lost:
            log_event(
                QUORUM_LOST,
                lost=sorted(
                    str(m) for m in voters_with_reply - replying_members
                ),
            )
        self.proposals.quorum_lost = quorum_lost

    async def request_join(self, configured_replies):
        """Send a join request to these voters until the leader accepts it."""
        replica = self.replica
        request = JoinRequest(replica.member)
        for reply in configured_replies:
            try:
                await self.peers.call(
                    reply.member.control_id, request, replica.election_min_s
                )
            except SnipeleadError:
                continue
            log_event(JOIN_REQUESTED, member=str(replica.member))
            return

    def make_probe_reply(self):
        """Return a summary of this member's data directory."""
        replica = self.replica
        configurations = replica.journal.configurations
        index, configuration = (
            configurations[-1] if configurations else (0, None)
        )
        return ProbeReply(
            replica.member,
            replica.term,
            replica.cluster,
            configuration,
            index,
        )

    async def on_probe(self, request):
        """Handle a probe from another control."""
        self.replica.check_running()
        return self.make_probe_reply()
