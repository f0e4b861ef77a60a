"""Changes of membership, one voter at a time, made by the leader."""

import trio

from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import JoinReply
from snipelead.voters.peers import voters_of

__all__ = ['Membership', 'plan_change']


def plan_change(configuration, joins, is_caught_up):
    """Return the next configuration, or None when nothing is to be done.

    Neighbouring configurations differ by one voter at most, so that
    any two of their majorities have a member in common.

    Parameters
    ----------
    configuration : Configuration
        Newest configuration; it is committed.
    joins : iterable of Member
        Members that asked to be taken in.
    is_caught_up : callable
        Tells whether a learner has all that is committed.

    Returns
    -------
    Configuration or None
    """
    for member in joins:
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
        learners = tuple(m for m in configuration.learners if m != learner)
        return Configuration((*configuration.voters, learner), learners)
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
                await replica.changed.wait()
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
        if leadership is None or leadership.leaving:
            return None
        if replica.journal.commit_index < leadership.first_index:
            return None
        index, configuration = replica.journal.configurations[-1]
        if index > replica.journal.commit_index:
            return None
        change = plan_change(
            configuration, leadership.joins.values(), self.is_caught_up
        )
        # The voters of a change decide as soon as it is appended, also when
        # the member that it removes comes back with its old disk.
        limit_s = replica.election_min_s
        if change is None or not leadership.is_in_touch(change, limit_s):
            return None
        return change

    def is_caught_up(self, learner):
        """Whether a learner has all that is committed."""
        replica = self.replica
        progress = replica.leadership.progress_of(learner)
        return progress.match_index >= replica.journal.commit_index

    async def append_change(self):
        """Append the next configuration."""
        replica = self.replica
        configuration = self.next_change()
        if configuration is None:
            return
        entry = replica.make_entry(0, configuration=configuration)
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
        if member.control_id in known:
            leadership.joins[member.control_id] = member
            replica.journal.applied.notify()
        return JoinReply()
