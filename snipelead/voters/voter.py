"""Control that votes, with the replicated log as its release source."""

import random

import trio

from snipelead.base import Parametrized
from snipelead.controls.exceptions import BaseUnknownError
from snipelead.controls.source import ReleaseSource
from snipelead.exceptions import SnipeleadError
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.messages import ClaimRequest
from snipelead.messages import ControlEndpoint
from snipelead.messages import OutcomesReply
from snipelead.messages import OutcomesRequest
from snipelead.messages import ReplaceRequest
from snipelead.messages import SettleRequest
from snipelead.messages import SubmitRequest
from snipelead.releases.checks import check_release
from snipelead.releases.delta import make_delta
from snipelead.settings.schema import ControlSettings
from snipelead.types import MembershipSource
from snipelead.voters.election import Election
from snipelead.voters.files import DiskFiles
from snipelead.voters.forwarding import Forwarding
from snipelead.voters.joining import Joining
from snipelead.voters.membership import Membership
from snipelead.voters.messages import AppendRequest
from snipelead.voters.messages import BarrierRequest
from snipelead.voters.messages import Claim
from snipelead.voters.messages import InstallRequest
from snipelead.voters.messages import JoinRequest
from snipelead.voters.messages import LeadRequest
from snipelead.voters.messages import ProbeRequest
from snipelead.voters.messages import ProposeRequest
from snipelead.voters.messages import Replace
from snipelead.voters.messages import Settle
from snipelead.voters.messages import Submit
from snipelead.voters.messages import VoteRequest
from snipelead.voters.notifier import Notifier
from snipelead.voters.peers import PeerChannels
from snipelead.voters.proposals import Proposals
from snipelead.voters.replica import Replica
from snipelead.voters.replication import Replication
from snipelead.voters.storage import Storage
from snipelead.voters.transfer import LeadershipTransfer

__all__ = ['Voter']

CERTIFY_TIMEOUT_S = 1.0
READ_BACK_WAIT_S = 0.3
# Shorter than CERTIFY_TIMEOUT_S, which would cancel the call and so keep a
# connection that no longer responds; a call that times out replaces it.
BARRIER_TIMEOUT_S = 0.5
# Releases that an operator sends at the same time may arrive out of order, so
# a replacement waits this long for its base.
BASE_RELEASE_WAIT_S = 0.5


class Voter(Parametrized, ReleaseSource):
    """Release source backed by the replicated log, of which it is a member.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control; its data directory belongs to this voter.
    transport : Transport
        Connects to the other voters.
    files : Files or None
        Files of the data directory; None for the directory in the settings.
    seed : int or None
        Seed of the random election timeouts; None for a random seed.

    Attributes
    ----------
    current : Release
        Newest committed release known to this voter.
    replica : Replica
        Term, log and state.

    See Also
    --------
    snipelead.controls.source.ReleaseSource : Interface.
    """

    _parameter_constraints = {
        'settings': [ControlSettings],
        'seed': [int, None],
    }

    def __init__(
        self,
        settings,
        transport,
        files=None,
        seed=None,
    ):
        self.settings = settings
        self.transport = transport
        self.files = files
        self.seed = seed
        self.replica = None
        self.current_changed = Notifier()
        self.build_components()

    def build_components(self):
        """Create the components; the data directory is not accessed."""
        files = self.files or DiskFiles(self.settings.data_dir)
        self.storage = Storage(files)
        self.replica = Replica(
            self.settings,
            self.storage,
            random.Random(self.seed),
        )
        # Replication has its own channels, since the reset of a channel after
        # a timeout ends all calls in flight on it.
        self.replication_peers = PeerChannels(self.settings, self.transport)
        self.peers = PeerChannels(self.settings, self.transport)
        self.members_changed = Notifier()
        self.replica.journal.on_members_changed = self.add_members
        self.election = Election(self.replica, self.peers)
        self.replication = Replication(self.replica, self.replication_peers)
        self.forwarding = Forwarding(self.replica, self.peers)
        self.proposals = Proposals(
            self.replica, self.forwarding, self.election
        )
        self.leadership_transfer = LeadershipTransfer(
            self.replica, self.peers, self.proposals, self.election
        )
        self.membership = Membership(self.replica)
        self.joining = Joining(self.replica, self.peers, self.proposals)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run all tasks of the voter until cancelled.

        Raises
        ------
        DataDirInUseError, CorruptStorageError, WrongDataDirError
            If the data directory cannot be used.
        StorageWriteError, InvariantError, MemberReplacedError
            If the voter stopped because of the error.
        """
        self.check_parameters()
        try:
            await self.replica.open()
            async with (
                self.replication_peers,
                self.peers,
                trio.open_nursery() as nursery,
            ):
                for task in self.component_tasks():
                    nursery.start_soon(self.run_task, task)
                task_status.started()
                try:
                    await self.replica.failed.wait()
                finally:
                    # A write waiting for disk space would outlive the voter.
                    self.replica.storage.stop_writes()
                nursery.cancel_scope.cancel()
            raise self.replica.failure
        finally:
            await self.replica.close()

    def component_tasks(self):
        """Return the tasks of the components."""
        return (
            self.joining.run,
            self.election.run,
            self.replication.run,
            self.proposals.run,
            self.forwarding.run,
            self.membership.run,
            self.replica.run_compaction,
            self.run_publishing,
        )

    async def drain(self):
        """Transfer leadership before a planned stop."""
        await self.leadership_transfer.transfer()

    async def run_task(self, task):
        """Run a task; a :class:`SnipeleadError` stops the voter."""
        try:
            await task()
        except SnipeleadError as error:
            self.replica.fail(error)

    async def run_publishing(self):
        """Publish new releases and notify waiting tasks."""
        journal = self.replica.journal
        while True:
            if journal.published is journal.state.current:
                await journal.applied.wait()
                continue
            # While the lock is held, all entries in memory are synced.
            async with self.replica.exclusive():
                await journal.publish()
            self.current_changed.notify()

    def handlers(self):
        """Return the handlers of remote procedures by request type."""
        return {
            VoteRequest: self.election.on_vote,
            AppendRequest: self.replication.on_append,
            InstallRequest: self.replication.on_install,
            ProbeRequest: self.joining.on_probe,
            JoinRequest: self.membership.on_join,
            LeadRequest: self.leadership_transfer.on_lead,
            ProposeRequest: self.proposals.on_propose,
            BarrierRequest: self.replication.on_barrier,
            CertifyRequest: self.on_certify,
            OutcomesRequest: self.on_outcomes,
            SubmitRequest: self.on_submit,
            ReplaceRequest: self.on_replace,
            ClaimRequest: self.claim,
            SettleRequest: self.settle,
        }

    @property
    def current(self):
        """Newest committed release known to this voter."""
        return self.replica.journal.published

    def find_by_digest(self, digest):
        """Return a recent release by digest, or None."""
        return self.replica.journal.state.history.find_by_digest(digest)

    async def wait_changed(self):
        """Wait until ``current`` changes."""
        await self.current_changed.wait()

    async def certify(self):
        """Prove by a majority that ``current`` is the newest release.

        Returns
        -------
        bool
            False if that cannot be proved at present.
        """
        with trio.move_on_after(CERTIFY_TIMEOUT_S):
            try:
                return (
                    await self.wait_read_barrier()
                    and await self.wait_published()
                )
            except SnipeleadError:
                return False
        return False

    async def wait_published(self):
        """Wait until the newest applied release is published."""
        number = self.replica.journal.state.current.number
        while self.current.number < number:
            await self.current_changed.wait()
        return True

    async def wait_read_barrier(self):
        """Wait until everything accepted before the call is applied here."""
        replica = self.replica
        replica.check_running()
        if replica.leadership is not None:
            return await self.replication.confirm_leadership() is not None
        while replica.leader is None:
            await replica.leadership_changed.wait()
            replica.check_running()
        if replica.leadership is not None:
            return await self.replication.confirm_leadership() is not None
        reply = await self.peers.call(
            replica.leader.control_id, BarrierRequest(), BARRIER_TIMEOUT_S
        )
        while replica.journal.commit_index < reply.index:
            await replica.journal.applied.wait()
        return True

    async def submit(self, note):
        """Submit a release note and return its durable outcome.

        An accepted release can be read back here once this returns, unless
        this voter does not learn of it in time.
        """
        reply = await self.proposals.propose(Submit(note))
        if reply.held is not None:
            await self.wait_for_release(reply.held.number)
        return reply

    async def replace(self, base, release):
        """Submit a whole release that replaces another one.

        See Also
        --------
        snipelead.controls.source.ReleaseSource.replace : Interface.
        """
        with trio.move_on_after(BASE_RELEASE_WAIT_S):
            while self.current.number < base:
                await self.current_changed.wait()
        current = self.current
        if current.number < base:
            raise BaseUnknownError(
                f'base release {base} is not accepted yet; the newest release'
                f' known here is {current.number}',
                current=current.number,
            )
        check_release(release, current)
        delta = None
        if current.number == base:
            delta = make_delta(current, release)
        reply = await self.proposals.propose(
            Replace(base, release.release_id, delta)
        )
        if reply.held is not None:
            await self.wait_for_release(reply.held.number)
        return reply

    async def on_replace(self, request):
        """Handle a submitted replacement."""
        return await self.replace(request.base, request.release)

    def controls(self):
        """Return the known controls, or None if the settings fix them."""
        if self.settings.membership is MembershipSource.FIXED:
            return None
        configuration = self.replica.journal.configuration
        if configuration is None:
            return ()
        return tuple(
            ControlEndpoint(m.control_id, m.zone, m.address)
            for m in configuration.members
        )

    async def wait_controls_changed(self):
        """Wait until :meth:`controls` changes."""
        await self.members_changed.wait()

    def add_peers(self, peers):
        """Open channels to the controls of changed settings."""
        self.replication_peers.add_peers(peers)
        self.peers.add_peers(peers)

    def add_members(self, members):
        """Open channels to the members of a configuration."""
        self.replication_peers.add_members(members)
        self.peers.add_members(members)
        self.members_changed.notify()

    async def wait_for_release(self, number):
        """Wait until ``current`` reaches a release, up to a time limit."""
        with trio.move_on_after(READ_BACK_WAIT_S):
            while self.current.number < number:
                await self.current_changed.wait()

    async def claim(self, request):
        """Claim a request durably."""
        return await self.proposals.propose(Claim(request))

    async def settle(self, request):
        """Record the end of a claimed request durably."""
        return await self.proposals.propose(Settle(request))

    async def get_outcomes(self):
        """Return the durable outcome of each recent note."""
        note_outcomes = self.replica.journal.state.note_outcomes
        return {o.note_id: o.reply for o in note_outcomes.values()}

    async def on_submit(self, request):
        """Handle a submitted note."""
        return await self.submit(request.note)

    async def on_certify(self, request):
        """Handle a request to certify the newest release."""
        certified = await self.certify()
        return CertifyReply(held=self.current.release_id, certified=certified)

    async def on_outcomes(self, request):
        """Handle a request for the outcomes of recent notes."""
        return OutcomesReply(await self.get_outcomes())
