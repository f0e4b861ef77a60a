"""Cluster of voters on an in-memory network, with fault injection."""

from contextlib import asynccontextmanager
from functools import partial

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.releases.note import load_note
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.testing.network import MemoryNetwork
from snipelead.voters.voter import Voter

__all__ = ['Cluster', 'make_note', 'open_cluster']


def make_note(number, note_id=None, service=None):
    """Return a release note that adds one service.

    Parameters
    ----------
    number : int
        Release number.
    note_id : str or None
        Id of the note; None derives it from the number.
    service : str or None
        Service to add; None derives its name from the number.
    """
    note_id = note_id or f'note-{number}'
    service = service or f'service-{number}'
    return load_note(
        f'release: {number}\nnote: {note_id}\nchanges:\n'
        f'  - {{action: add, service: {{name: {service}}}}}\n'
    )


class Cluster:
    """Voter processes, one for each letter of ``names``.

    Parameters
    ----------
    names : str
        Control ids, one letter each.
    network : MemoryNetwork
        Network that connects the processes.
    nursery : trio.Nursery
        Nursery that runs the processes.
    seed : int
        Seed of the disks and the election timeouts.
    snapshot_entries : int
        Number of log entries between snapshots.

    Attributes
    ----------
    voters : dict of str to Voter
        Running voters, by control id.
    disks : dict of str to MemoryDisk
        Disks, by control id; they outlive the processes.
    failures : dict of str to SnipeleadError
        Coded errors that ended processes, by control id.
    on_start : callable or None
        Called with each voter before it starts.
    """

    def __init__(self, names, network, nursery, seed=0, snapshot_entries=50):
        self.names = names
        self.network = network
        self.nursery = nursery
        self.seed = seed
        self.snapshot_entries = snapshot_entries
        self.disks = {name: MemoryDisk(f'{seed}-{name}') for name in names}
        self.voters = {}
        self.cancel_scopes = {}
        self.failures = {}
        self.start_count = 0
        self.on_start = None

    def make_settings(self, name):
        """Return the settings of a control."""
        peers = tuple(
            Peer(control_id=n, zone=n, address=self.address(n))
            for n in self.names
        )
        return ControlSettings(
            control_id=name,
            zone=name,
            address=self.address(name),
            operator_address='127.0.0.1:0',
            data_dir=name,
            peers=peers,
            snapshot_entries=self.snapshot_entries,
        )

    def address(self, name):
        """Return the address of a control."""
        return f'address-{name}'

    async def start(self, name):
        """Start a process and wait until it has started or failed."""
        self.start_count += 1
        self.failures.pop(name, None)
        await self.nursery.start(self._run, name)

    async def start_all(self):
        """Start all processes."""
        for name in self.names:
            await self.start(name)

    async def _run(self, name, *, task_status):
        transport = self.network.transport(self.address(name))
        voter = Voter(
            self.make_settings(name),
            transport,
            MemoryFiles(self.disks[name]),
            hash((self.seed, ord(name), self.start_count)),
        )
        if self.on_start is not None:
            self.on_start(voter)
        ready = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                self.cancel_scopes[name] = nursery.cancel_scope
                self.voters[name] = voter
                await nursery.start(voter.run)
                nursery.start_soon(
                    transport.serve, self.address(name), voter.handlers()
                )
                ready.set()
                task_status.started()
        except* SnipeleadError as group:
            self._record_failure(name, voter, group)
        finally:
            if voter is self.voters.get(name):
                del self.voters[name]
            if not ready.is_set():
                task_status.started()

    def _record_failure(self, name, voter, group):
        invariant_errors, _ = group.split(InvariantError)
        if invariant_errors is not None:
            raise invariant_errors
        if voter is self.voters.get(name):
            self.failures[name] = group.exceptions[0]

    async def kill(self, name):
        """End a process without cleanup, as SIGKILL does."""
        self.disks[name].crash()
        if name in self.voters:
            self._end_process(name)
            await trio.sleep(0.01)

    def kill_after_writes(self, name, write_count):
        """Kill a process during a write.

        Parameters
        ----------
        name : str
            Control id; the process may not have started yet.
        write_count : int
            Number of its writes that complete before.
        """
        disk = self.disks[name]
        disk.crash_after_writes = write_count
        disk.on_crash = partial(self._end_process, name)

    def _end_process(self, name):
        del self.voters[name]
        self.cancel_scopes[name].cancel()

    async def erase_disk(self, name):
        """Kill a process and erase its disk."""
        await self.kill(name)
        self.disks[name].erase()

    def isolate(self, name):
        """Drop all messages between a process and the others."""
        others = [self.address(n) for n in self.names if n != name]
        self.network.isolate(self.address(name), others)

    @property
    def leader(self):
        """Control id of the leader of the highest term, or None."""
        leaders = [
            (v.replica.term, name)
            for name, v in self.voters.items()
            if v.replica.leadership is not None
        ]
        return max(leaders)[1] if leaders else None

    @property
    def followers(self):
        """Control ids of the running voters other than the leader."""
        return [n for n in self.names if n in self.voters and n != self.leader]

    async def wait_until(self, condition, timeout_s=60):
        """Wait until a condition is true.

        Raises
        ------
        trio.TooSlowError
            If it does not become true in time.
        """
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.01)

    async def wait_leader(self, other_than=None):
        """Wait until there is a leader and return its control id.

        Parameters
        ----------
        other_than : str or None
            Control id of a leader that does not count.
        """
        await self.wait_until(
            lambda: self.leader is not None and self.leader != other_than
        )
        return self.leader

    async def wait_release(self, number):
        """Wait until all running voters have applied a release."""
        await self.wait_until(
            lambda: all(
                v.current.number >= number for v in self.voters.values()
            )
        )

    def is_fully_formed(self):
        """Return whether all processes run and vote in one configuration."""
        configurations = {
            v.replica.journal.state.configuration for v in self.voters.values()
        }
        members = {v.replica.member for v in self.voters.values()}
        return (
            len(self.voters) == len(self.names)
            and len(configurations) == 1
            and set(configurations.pop().voters) == members
        )

    async def wait_fully_formed(self):
        """Wait until all processes run and vote in one configuration."""
        await self.wait_until(self.is_fully_formed)


@asynccontextmanager
async def open_cluster(names='abc', seed=0, start=True, **options):
    """Run a cluster of voters until the block ends.

    Yields
    ------
    Cluster
    """
    network = MemoryNetwork(seed)
    async with trio.open_nursery() as nursery:
        cluster = Cluster(names, network, nursery, seed, **options)
        if start:
            await cluster.start_all()
        yield cluster
        for disk in cluster.disks.values():
            disk.crash()
        nursery.cancel_scope.cancel()
