"""Membership changes by the leader, one voter at a time."""

import trio

from snipelead.types import MembershipSource
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.leadership import MS_PER_S
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import JoinReply
from snipelead.voters.peers import voting_peers

__all__ = ['Membership', 'plan_change']

# A silent voter is removed only if at least this many remain; three tolerate
# the loss of one.
MIN_VOTERS_AFTER_REMOVAL = 3
# Further members stay learners, since each voter adds latency and load to
# every commit.
MAX_VOTERS = 5


def plan_change(configuration, join_requests, is_caught_up, is_silent=None):
    """Return the next configuration, or None if no change is due.

    Consecutive configurations differ by at most one voter, so any majority of
    one and any majority of the next have a member in common.

    Parameters
    ----------
    configuration : Configuration
        Newest configuration, which is committed.
    join_requests : iterable of Member
        Members that asked to join.
    is_caught_up : callable
        Returns whether a learner has all committed entries.
    is_silent : callable or None
        Returns whether a member has not replied for so long that it counts
        as lost; if None, no member is removed.

    Returns
    -------
    Configuration or None
    """
    for member in join_requests:
        if member not in configuration.members:
            others = tuple(
                m
                for m in configuration.learners
                if m.control_id != member.control_id
            )
            return Configuration(configuration.voters, (*others, member))
    for learner in configuration.learners:
        if not is_caught_up(learner):
            continue
        old = configuration.find_voter(learner.control_id)
        if old is not None:
            voters = tuple(m for m in configuration.voters if m != old)
            return Configuration(voters, configuration.learners)
        if len(configuration.voters) >= MAX_VOTERS:
            continue
        learners = tuple(m for m in configuration.learners if m != learner)
        return Configuration((*configuration.voters, learner), learners)
    if is_silent is not None:
        return _plan_removal(configuration, is_silent)
    return None


def _plan_removal(configuration, is_silent):
    """Return the configuration without one lost member, or None.

    A voter is removed only if enough others remain, so a small cluster keeps
    a voter that is away for a while and may return.
    """
    for learner in configuration.learners:
        if is_silent(learner):
            learners = tuple(m for m in configuration.learners if m != learner)
            return Configuration(configuration.voters, learners)
    if len(configuration.voters) <= MIN_VOTERS_AFTER_REMOVAL:
        return None
    for voter in configuration.voters:
        if is_silent(voter):
            voters = tuple(m for m in configuration.voters if m != voter)
            return Configuration(voters, configuration.learners)
    return None


class Membership:
    """Adds and removes members while this member is the leader.

    Parameters
    ----------
    replica : Replica
        This member.
    """

    def __init__(self, replica):
        self.replica = replica

    async def run(self):
        """Append the membership changes that are due, until cancelled."""
        replica = self.replica
        while True:
            if replica.leadership is None:
                await replica.leadership_changed.wait()
                continue
            if self.next_change() is not None:
                async with replica.exclusive():
                    await self.append_change()
            with trio.move_on_after(replica.heartbeat_s):
                await replica.journal.applied.wait()

    def next_change(self):
        """Return the configuration to append now, or None."""
        replica = self.replica
        leadership = replica.leadership
        if leadership is None or leadership.transferring:
            return None
        if replica.journal.commit_index < leadership.first_index:
            return None
        index, configuration = replica.journal.configurations[-1]
        if index > replica.journal.commit_index:
            return None
        self.discard_served_requests(configuration)
        is_learned = replica.settings.membership is MembershipSource.LEARNED
        change = plan_change(
            configuration,
            leadership.join_requests.values(),
            self.is_caught_up,
            self.is_silent if is_learned else None,
        )
        # The voters of the new configuration decide once it is appended, even
        # if the member that it removes returns with its old disk. A majority
        # of them must therefore be reachable.
        contact_timeout_s = replica.election_min_s
        if change is None or not leadership.has_majority_contact(
            change, contact_timeout_s
        ):
            return None
        return change

    def is_caught_up(self, learner):
        """Return whether a learner has all committed entries."""
        replica = self.replica
        progress = replica.leadership.progress_of(learner)
        return progress.match_index >= replica.journal.commit_index

    def discard_served_requests(self, configuration):
        """Discard the join requests of members of the configuration."""
        join_requests = self.replica.leadership.join_requests
        for member in configuration.members:
            if join_requests.get(member.control_id) == member:
                del join_requests[member.control_id]

    def is_silent(self, member):
        """Return whether a member has not replied within the removal time."""
        replica = self.replica
        if member == replica.member:
            return False
        replied_at = replica.leadership.progress_of(member).replied_at
        silence_limit_s = replica.settings.timings.remove_silent_ms / MS_PER_S
        return trio.current_time() - replied_at > silence_limit_s

    async def append_change(self):
        """Append the next configuration, if one is due."""
        replica = self.replica
        configuration = self.next_change()
        if configuration is None:
            return
        entry = replica.make_entry(0, configuration=configuration)
        replica.leadership.retain_members(configuration.members)
        await replica.append_as_leader((entry,))

    async def on_join(self, request):
        """Record a request to join, if it comes from a known control."""
        replica = self.replica
        replica.check_running()
        leadership = replica.leadership
        if leadership is None:
            raise NotLeaderError(f'{replica.member} is not the leader')
        member = request.member
        known = {p.control_id for p in voting_peers(replica.settings)}
        is_learned = replica.settings.membership is MembershipSource.LEARNED
        if is_learned or member.control_id in known:
            leadership.join_requests[member.control_id] = member
            replica.journal.applied.notify()
        return JoinReply()
