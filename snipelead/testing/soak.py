"""Long randomized runs of the voters under faults.

Operators submit concurrent release notes and nodes claim requests, while a
seeded schedule kills processes, erases disks, and cuts and freezes links.
Messages are delayed, reordered, lost and duplicated. The
:class:`~snipelead.testing.checker.HistoryChecker` compares what the clients
were told with what the voters hold.
"""

import argparse
import random
import time

import trio

from snipelead.exceptions import SnipeleadError
from snipelead.logs import configure_logs
from snipelead.messages import CertifyRequest
from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.messages import SubmitRequest
from snipelead.testing.checker import HistoryChecker
from snipelead.testing.cluster import Cluster
from snipelead.testing.cluster import make_note
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.simulation import run_simulated
from snipelead.types import Ran

__all__ = ['VoterSoakRun', 'run_seed']

CALL_TIMEOUT_S = 4.0
OPERATOR_COUNT = 3
CLAIMANT_COUNT = 3
READER_COUNT = 2
KEY_COUNT = 25
# Claimants move on to new keys after this time.
KEY_PERIOD_S = 20
CANCELLED = 'cancelled'
RECOVERY_S = 60
# Time in which most voters join, in seconds.
JOIN_S = 2.0
# A voter that joins has installed its snapshot after fewer writes.
MAX_COMPLETED_WRITES = 9
# Seeds divisible by this number run five voters, the others three.
FIVE_VOTER_SEED_INTERVAL = 4
DEFAULT_DURATION_S = 120.0
# Methods that inject one fault each.
FAULTS = (
    'kill',
    'kill_leader',
    'stop_leader_gracefully',
    'kill_during_write',
    'erase_disk',
    'kill_while_joining',
    'partition',
    'partition_one_way',
    'freeze',
    'kill_all',
    'delay_messages',
)


class VoterSoakRun:
    """One randomized run of a cluster of voters.

    Parameters
    ----------
    seed : int
        Seed of all random generators of the run.
    seconds : float
        Simulated duration of the fault injection, in seconds.
    names : str
        Control ids, one letter each.
    faults : tuple of str
        Faults to choose from, see ``FAULTS``.

    Attributes
    ----------
    checker : HistoryChecker
        Records and checks the observed history.
    injected : list of str
        Names of the injected faults, in order.
    newest_read : int
        Newest release number that a reader received.
    quiet_until : float
        Time until which clients add nothing to the log, in seconds of trio's
        clock.
    """

    def __init__(
        self, seed, seconds=DEFAULT_DURATION_S, names='abc', faults=FAULTS
    ):
        self.seed = seed
        self.seconds = seconds
        self.names = names
        self.faults = faults
        self.rng = random.Random(seed)
        self.checker = HistoryChecker()
        self.injected = []
        self.id_count = 0
        self.quiet_until = 0.0
        self.newest_read = 0

    async def run(self):
        """Run clients under faults, then check recovery and final states.

        Raises
        ------
        InvariantError
            If a guarantee is violated.
        trio.TooSlowError
            If the voters do not recover in time.
        """
        network = MemoryNetwork(
            self.seed,
            0.0005,
            0.02,
            loss_probability=0.01,
            duplication_probability=0.05,
        )
        async with trio.open_nursery() as nursery:
            self.cluster = Cluster(self.names, network, nursery, self.seed, 40)
            self.cluster.on_start = self.checker.watch_voter
            await self.cluster.start_all()
            await self.cluster.wait_fully_formed()
            with trio.move_on_after(self.seconds):
                await self.run_tasks()
            await self.check_recovery()
            self.checker.check_end(self.cluster.voters.values())
            nursery.cancel_scope.cancel()

    async def run_tasks(self):
        """Run clients and the fault injection until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(OPERATOR_COUNT):
                nursery.start_soon(self.submit_notes, f'operator-{number}')
            for number in range(CLAIMANT_COUNT):
                nursery.start_soon(self.claim_keys, f'node-{number}')
            for number in range(READER_COUNT):
                nursery.start_soon(self.read_releases, f'reader-{number}')
            nursery.start_soon(self.inject_faults)

    async def check_recovery(self):
        """End all faults and wait until a new release is applied."""
        network = self.cluster.network
        network.loss_probability = network.duplication_probability = 0.0
        await self.heal()
        await self.cluster.wait_until(self.cluster.is_fully_formed, RECOVERY_S)
        note = make_note(self.newest_read + 1_000, 'last', 'last')
        leader = await self.cluster.wait_leader()
        self.checker.record_attempt(note)
        reply = await self.cluster.voters[leader].submit(note)
        self.checker.record_outcome(note, reply)
        await self.cluster.wait_release(note.release)

    # Clients

    def connect_client(self, name):
        """Return the channels of a client to all voters, by control id."""
        transport = self.cluster.network.transport(name)
        return {
            n: transport.connect(self.cluster.address(n)) for n in self.names
        }

    async def call_random_voter(self, channels, request):
        """Call a procedure of a random voter."""
        channel = channels[self.rng.choice(self.names)]
        return await channel.call(request, CALL_TIMEOUT_S)

    async def wait_before_request(self, max_s):
        """Wait for a random time, and until no quiet period lasts."""
        await trio.sleep(self.rng.uniform(0, max_s))
        await trio.sleep_until(max(self.quiet_until, trio.current_time()))

    def next_id(self, prefix):
        """Return a unique id with a prefix."""
        self.id_count += 1
        return f'{prefix}-{self.id_count}'

    async def submit_notes(self, name):
        """Submit notes whose release numbers conflict with other operators."""
        channels = self.connect_client(name)
        while True:
            await self.wait_before_request(0.5)
            number = self.newest_read + self.rng.randint(1, 2)
            note_id = self.next_id('note')
            note = make_note(number, note_id, note_id)
            for _ in range(self.rng.randint(1, 4)):
                self.checker.record_attempt(note)
                try:
                    reply = await self.call_random_voter(
                        channels, SubmitRequest(note)
                    )
                except trio.Cancelled:
                    # The run ends; this note may still take effect.
                    self.checker.record_error(note, CANCELLED)
                    raise
                except SnipeleadError as error:
                    self.checker.record_error(note, error.code)
                    continue
                self.checker.record_outcome(note, reply)

    async def claim_keys(self, name):
        """Claim keys that other clients claim too, and settle some claims."""
        channels = self.connect_client(name)
        while True:
            await self.wait_before_request(0.2)
            period = int(trio.current_time() / KEY_PERIOD_S)
            key = f'{period}-{self.rng.randrange(KEY_COUNT)}'
            claim_id = self.next_id('claim')
            await self.claim_once(channels, key, claim_id)

    async def claim_once(self, channels, key, claim_id):
        """Send one claim up to three times, and settle it in some cases."""
        request = ClaimRequest('route', key, claim_id, key)
        granted = False
        for _ in range(self.rng.randint(1, 3)):
            try:
                reply = await self.call_random_voter(channels, request)
            except SnipeleadError as error:
                self.checker.counts[error.code] += 1
                continue
            if reply.granted:
                self.checker.record_claim_grant(key, claim_id)
                granted = True
        ran = self.rng.choice((Ran.NO, Ran.YES, None))
        if not granted and ran is Ran.YES or ran is None:
            return
        if ran is Ran.NO:
            self.checker.record_claim_release(key, claim_id)
        settle = SettleRequest('route', key, claim_id, ran, 200)
        for _ in range(2):
            try:
                await self.call_random_voter(channels, settle)
            except SnipeleadError as error:
                self.checker.counts[error.code] += 1

    async def read_releases(self, name):
        """Read the newest release with certification."""
        channels = self.connect_client(name)
        while True:
            await trio.sleep(self.rng.uniform(0, 0.3))
            floor = self.checker.newest_accepted
            try:
                reply = await self.call_random_voter(
                    channels, CertifyRequest()
                )
            except SnipeleadError:
                continue
            self.newest_read = max(self.newest_read, reply.held.number)
            if reply.certified:
                self.checker.record_certified_read(floor, reply.held.number)

    # Faults

    async def inject_faults(self):
        """Inject one or two faults at a time; end them in most cases."""
        while True:
            await trio.sleep(self.rng.uniform(0.5, 3))
            count = min(self.rng.choice((1, 2)), len(self.faults))
            for fault in self.rng.sample(self.faults, count):
                self.injected.append(fault)
                await getattr(self, fault)()
                await trio.sleep(self.rng.uniform(0, 1))
            await trio.sleep(self.rng.uniform(0, 4))
            if self.rng.random() < 0.8:
                await self.heal()

    def choose_voter(self):
        """Return the control id of a random voter."""
        return self.rng.choice(self.names)

    async def kill(self):
        """Kill a random voter."""
        await self.cluster.kill(self.choose_voter())

    async def kill_leader(self):
        """Kill the leader."""
        if self.cluster.leader is not None:
            await self.cluster.kill(self.cluster.leader)

    async def stop_leader_gracefully(self):
        """Drain and stop the leader; its successor may fail meanwhile."""
        name = self.cluster.leader
        if name is not None:
            await self.cluster.voters[name].drain()
            await self.cluster.kill(name)

    async def erase_disk(self):
        """Erase the disk of a random voter once the cluster is complete.

        A disk may be lost immediately after the previous one was replaced.
        """
        if self.cluster.is_fully_formed():
            name = self.choose_voter()
            await self.cluster.erase_disk(name)
            await self.cluster.start(name)

    async def kill_during_write(self):
        """Kill a random voter during one of its next writes."""
        self.cluster.kill_after_writes(
            self.choose_voter(), self.rng.randrange(MAX_COMPLETED_WRITES)
        )

    async def kill_while_joining(self):
        """Erase a disk; kill the new voter in an early write and once more.

        Meanwhile clients are quiet, since a voter that has fallen behind gets
        another snapshot, which replaces its log.
        """
        if not self.cluster.is_fully_formed():
            return
        name = self.choose_voter()
        self.quiet_until = trio.current_time() + JOIN_S
        await self.cluster.erase_disk(name)
        self.cluster.kill_after_writes(
            name, self.rng.randrange(MAX_COMPLETED_WRITES)
        )
        await self.cluster.start(name)
        with trio.move_on_at(self.quiet_until):
            while name in self.cluster.voters:
                await trio.sleep(0.01)
            await self.cluster.start(name)
        await trio.sleep(self.rng.uniform(0, JOIN_S))
        await self.cluster.kill(name)

    async def partition(self):
        """Isolate a random voter from the others."""
        self.cluster.isolate(self.choose_voter())

    async def partition_one_way(self):
        """Drop all messages in one direction between two voters."""
        one, other = self.rng.sample(self.names, 2)
        self.cluster.network.dropping_links.add(
            (self.cluster.address(one), self.cluster.address(other))
        )

    async def freeze(self):
        """Hold all messages from and to a random voter."""
        self.cluster.network.freeze(self.cluster.address(self.choose_voter()))

    async def kill_all(self):
        """Kill all voters."""
        for name in self.names:
            await self.cluster.kill(name)

    async def delay_messages(self):
        """Increase or restore the maximum delay, which reorders messages."""
        self.cluster.network.max_delay_s = self.rng.choice((0.02, 0.3))

    async def heal(self):
        """End all faults and restart the voters that were killed."""
        if self.cluster.failures:
            raise next(iter(self.cluster.failures.values()))
        self.cluster.network.heal()
        self.cluster.network.max_delay_s = 0.02
        for disk in self.cluster.disks.values():
            disk.crash_after_writes = None
        for name in self.names:
            if name not in self.cluster.voters:
                await self.cluster.start(name)


def run_seed(seed, seconds=DEFAULT_DURATION_S, faults=FAULTS):
    """Run one seed on a simulated clock.

    Returns
    -------
    VoterSoakRun
        The completed run.
    """
    names = 'abcde' if seed % FIVE_VOTER_SEED_INTERVAL == 0 else 'abc'
    run = VoterSoakRun(seed, seconds, names, faults)
    run_simulated(run.run, seed)
    return run


def main():
    """Run seeds until the time is over; the first failure raises."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=5)
    options = parser.parse_args()
    configure_logs(level='critical')
    end = time.monotonic() + options.minutes * 60
    seed = options.seed
    while time.monotonic() < end:
        print(f'seed {seed}', flush=True)
        run = run_seed(seed)
        print(f'  {len(run.injected)} faults, {dict(run.checker.counts)}')
        seed += 1


if __name__ == '__main__':
    main()
