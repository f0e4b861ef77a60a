"""Long randomised runs of the voters under faults.

Operators race with release notes, nodes claim requests, and a seeded
schedule kills processes, loses disks, cuts and freezes links; messages are
delayed, reordered, lost and doubled. The :class:`~snipelead.testing.ledger.
Ledger` checks what was told against what the voters hold.
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
from snipelead.testing.cluster import Cluster
from snipelead.testing.cluster import make_note
from snipelead.testing.ledger import Ledger
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.simulation import run_simulated
from snipelead.types import Ran

__all__ = ['Soak', 'run_seed']

CALL_TIMEOUT_S = 4.0
OPERATORS = 3
CLAIMANTS = 3
READERS = 2
KEYS = 25
KEY_PERIOD_S = 20
CANCELLED = 'cancelled'
RECOVERY_S = 60
# One seed in so many runs five voters, the others three.
FIVE_VOTERS_EVERY = 4
ROUND_S = 120.0


class Soak:
    """One randomised run.

    Parameters
    ----------
    seed : int
        Seed of everything.
    seconds : float
        Simulated length in seconds.
    names : str
        Control ids, one letter each.
    """

    def __init__(self, seed, seconds=ROUND_S, names='abc'):
        self.seed = seed
        self.seconds = seconds
        self.names = names
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.faults = []
        self.serial = 0
        self.seen = 0

    async def run(self):
        """Run the schedule, heal everything and check the end.

        Raises
        ------
        InvariantError
            If a promise was broken.
        trio.TooSlowError
            If the voters did not recover.
        """
        network = MemoryNetwork(
            self.seed, 0.0005, 0.02, loss=0.01, duplication=0.05
        )
        async with trio.open_nursery() as nursery:
            self.cluster = Cluster(self.names, network, nursery, self.seed, 40)
            self.cluster.on_start = self.ledger.watch
            await self.cluster.start_all()
            await self.cluster.wait_whole()
            with trio.move_on_after(self.seconds):
                await self.run_tasks()
            await self.recover()
            self.ledger.check_end(self.cluster.voters.values())
            nursery.cancel_scope.cancel()

    async def run_tasks(self):
        """Run clients and faults until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(OPERATORS):
                nursery.start_soon(self.operate, f'operator-{number}')
            for number in range(CLAIMANTS):
                nursery.start_soon(self.claim_keys, f'node-{number}')
            for number in range(READERS):
                nursery.start_soon(self.read, f'reader-{number}')
            nursery.start_soon(self.break_things)

    async def recover(self):
        """Heal everything and wait until a release is accepted."""
        network = self.cluster.network
        network.loss = network.duplication = 0.0
        await self.heal()
        await self.cluster.wait_until(self.cluster.is_whole, RECOVERY_S)
        note = make_note(self.seen + 1_000, 'last', 'last')
        leader = await self.cluster.wait_leader()
        self.ledger.note_attempt(note)
        reply = await self.cluster.voters[leader].submit(note)
        self.ledger.note_reply(note, reply)
        await self.cluster.wait_release(note.release)

    # -- clients -------------------------------------------------------

    def connect(self, name):
        """Return channels from a client to all voters."""
        transport = self.cluster.network.transport(name)
        return {
            n: transport.connect(self.cluster.address(n)) for n in self.names
        }

    async def call(self, channels, request):
        """Call a random voter."""
        channel = channels[self.random.choice(self.names)]
        return await channel.call(request, CALL_TIMEOUT_S)

    def next_id(self, prefix):
        """Return a new unique id."""
        self.serial += 1
        return f'{prefix}-{self.serial}'

    async def operate(self, name):
        """Submit notes whose numbers race with those of others."""
        channels = self.connect(name)
        while True:
            await trio.sleep(self.random.uniform(0, 0.5))
            number = self.seen + self.random.randint(1, 2)
            note_id = self.next_id('note')
            note = make_note(number, note_id, note_id)
            for _ in range(self.random.randint(1, 4)):
                self.ledger.note_attempt(note)
                try:
                    reply = await self.call(channels, SubmitRequest(note))
                except trio.Cancelled:
                    # The run ends, and this attempt may still take effect.
                    self.ledger.note_error(note, CANCELLED)
                    raise
                except SnipeleadError as error:
                    self.ledger.note_error(note, error.code)
                    continue
                self.ledger.note_reply(note, reply)

    async def claim_keys(self, name):
        """Claim keys that others claim too, and settle some."""
        channels = self.connect(name)
        while True:
            await trio.sleep(self.random.uniform(0, 0.2))
            period = int(trio.current_time() / KEY_PERIOD_S)
            key = f'{period}-{self.random.randrange(KEYS)}'
            claim_id = self.next_id('claim')
            await self.claim_once(channels, key, claim_id)

    async def claim_once(self, channels, key, claim_id):
        """Make one claim, resending it, and perhaps settle it."""
        request = ClaimRequest('route', key, claim_id, key)
        granted = False
        for _ in range(self.random.randint(1, 3)):
            try:
                reply = await self.call(channels, request)
            except SnipeleadError as error:
                self.ledger.counts[error.code] += 1
                continue
            if reply.granted:
                self.ledger.note_grant(key, claim_id)
                granted = True
        ran = self.random.choice((Ran.NO, Ran.YES, None))
        if not granted and ran is Ran.YES or ran is None:
            return
        if ran is Ran.NO:
            self.ledger.note_return(key, claim_id)
        settle = SettleRequest('route', key, claim_id, ran, 200)
        for _ in range(2):
            try:
                await self.call(channels, settle)
            except SnipeleadError as error:
                self.ledger.counts[error.code] += 1

    async def read(self, name):
        """Read the newest release with proof."""
        channels = self.connect(name)
        while True:
            await trio.sleep(self.random.uniform(0, 0.3))
            floor = self.ledger.newest
            try:
                reply = await self.call(channels, CertifyRequest())
            except SnipeleadError:
                continue
            self.seen = max(self.seen, reply.held.number)
            if reply.certified:
                self.ledger.note_certified(floor, reply.held.number)

    # -- faults --------------------------------------------------------

    async def break_things(self):
        """Inject one or two faults at a time, then heal them."""
        faults = (
            self.kill,
            self.kill_leader,
            self.stop_leader,
            self.lose_disk,
            self.cut,
            self.cut_one_way,
            self.freeze,
            self.kill_all,
            self.slow_down,
        )
        while True:
            await trio.sleep(self.random.uniform(0.5, 3))
            for fault in self.random.sample(
                faults, self.random.choice((1, 2))
            ):
                self.faults.append(fault.__name__)
                await fault()
                await trio.sleep(self.random.uniform(0, 1))
            await trio.sleep(self.random.uniform(0, 4))
            if self.random.random() < 0.8:
                await self.heal()

    def pick(self):
        """Return a random control."""
        return self.random.choice(self.names)

    async def kill(self):
        """Kill a random process."""
        await self.cluster.kill(self.pick())

    async def kill_leader(self):
        """Kill the leader."""
        if self.cluster.leader is not None:
            await self.cluster.kill(self.cluster.leader)

    async def stop_leader(self):
        """Stop the leader as planned; its successor may fail meanwhile."""
        name = self.cluster.leader
        if name is not None:
            await self.cluster.voters[name].drain()
            await self.cluster.kill(name)

    async def lose_disk(self):
        """Lose a disk, at once after the one before was replaced."""
        if self.cluster.is_whole():
            name = self.pick()
            await self.cluster.lose_disk(name)
            await self.cluster.start(name)

    async def cut(self):
        """Cut a process off."""
        self.cluster.cut_off(self.pick())

    async def cut_one_way(self):
        """Lose all messages in one direction of one link."""
        one, other = self.random.sample(self.names, 2)
        self.cluster.network.silent.add(
            (self.cluster.address(one), self.cluster.address(other))
        )

    async def freeze(self):
        """Hold all messages of a process for a while."""
        self.cluster.network.freeze(self.cluster.address(self.pick()))

    async def kill_all(self):
        """Kill all processes at once."""
        for name in self.names:
            await self.cluster.kill(name)

    async def slow_down(self):
        """Slow down and reorder all messages."""
        self.cluster.network.max_delay_s = self.random.choice((0.02, 0.3))

    async def heal(self):
        """Remove all faults and restart what was killed."""
        if self.cluster.failures:
            raise next(iter(self.cluster.failures.values()))
        self.cluster.network.heal()
        self.cluster.network.max_delay_s = 0.02
        for name in self.names:
            if name not in self.cluster.voters:
                await self.cluster.start(name)


def run_seed(seed, seconds=ROUND_S):
    """Run one seed under a mock clock.

    Returns
    -------
    Soak
        The finished run.
    """
    names = 'abcde' if seed % FIVE_VOTERS_EVERY == 0 else 'abc'
    soak = Soak(seed, seconds, names)
    run_simulated(soak.run, seed)
    return soak


def main():
    """Run seeds until the time is over; a failed one raises."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=5)
    options = parser.parse_args()
    configure_logs(level='critical')
    end = time.monotonic() + options.minutes * 60
    seed = options.seed
    while time.monotonic() < end:
        print(f'seed {seed}', flush=True)
        soak = run_seed(seed)
        print(f'  {len(soak.faults)} faults, {dict(soak.ledger.counts)}')
        seed += 1


if __name__ == '__main__':
    main()
