"""Changes of membership, one voter at a time, made by the leader."""

import trio

from snipelead.types import MembershipSource
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.leadership import MS_PER_S
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import JoinReply
from snipelead.voters.peers import voters_of

__all__ = ['Membership', 'plan_change']

# Fewest voters that are left when a silent one is removed; three bear the
# loss of one.
MIN_VOTERS_AFTER_REMOVAL = 3
# Further members only learn, since each voter delays and costs each commit.
MAX_VOTERS = 5


def plan_change(configuration, join_requests, is_caught_up, is_silent=None):
    """Return the next configuration, or None when nothing is to be done.

    Neighbouring configurations differ by one voter at most, so that
    any two of their majorities have a member in common.

    Parameters
    ----------
    configuration : Configuration
        Newest configuration; it is committed.
    join_requests : iterable of Member
        Members that asked to be taken in.
    is_caught_up : callable
        Tells whether a learner has all that is committed.
    is_silent : callable or None
        Tells whether a member has not answered for so long that it counts
        as lost; None never removes a member.

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
    """Return the configuration without a lost member, or None.

    A voter is only removed while enough others remain, so that a cluster
    that lost a voter for a while still has the place for its return.
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
    """Takes in new members while this member leads.

    Parameters
    ----------
    replica : Replica
        This member.
    """

    def __init__(self, replica):
        self.replica = replica

    async def run(self):
        """Make the changes that are due until cancelled."""
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
        # The voters of a change decide as soon as it is appended, also when
        # the member that it removes comes back with its old disk.
        contact_timeout_s = replica.election_min_s
        if change is None or not leadership.has_majority_contact(
            change, contact_timeout_s
        ):
            return None
        return change

    def is_caught_up(self, learner):
        """Whether a learner has all that is committed."""
        replica = self.replica
        progress = replica.leadership.progress_of(learner)
        return progress.match_index >= replica.journal.commit_index

    def discard_served_requests(self, configuration):
        """Forget the requests of members that have their place."""
        join_requests = self.replica.leadership.join_requests
        for member in configuration.members:
            if join_requests.get(member.control_id) == member:
                del join_requests[member.control_id]

    def is_silent(self, member):
        """Whether a member has not answered for long."""
        replica = self.replica
        if member == replica.member:
            return False
        replied_at = replica.leadership.progress_of(member).replied_at
        silence_limit_s = replica.settings.timings.remove_silent_ms / MS_PER_S
        return trio.current_time() - replied_at > silence_limit_s

    async def append_change(self):
        """Append the next configuration."""
        replica = self.replica
        configuration = self.next_change()
        if configuration is None:
            return
        entry = replica.make_entry(0, configuration=configuration)
        replica.leadership.retain_members(configuration.members)
        await replica.append_as_leader((entry,))

    async def on_join(self, request):
        """Note that a new member wants to be taken in."""
        replica = self.replica
        replica.check_running()
        leadership = replica.leadership
        if leadership is None:
            raise NotLeaderError(f'{replica.member} is not the leader')
        member = request.member
        known = {p.control_id for p in voters_of(replica.settings)}
        is_learned = replica.settings.membership is MembershipSource.LEARNED
        if is_learned or member.control_id in known:
            leadership.join_requests[member.control_id] = member
            replica.journal.applied.notify()
        return JoinReply()
