"""Control of the distribution benchmark."""

import time

import trio

from snipelead.bench.baselines import make_update_builder
from snipelead.bench.baselines import StepUpdates
from snipelead.bench.baselines import UpdateStrategy
from snipelead.bench.fleet_hosts import CONTROL_ID
from snipelead.controls.service import ControlService
from snipelead.messages import SubmitRequest
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.note import Change
from snipelead.releases.note import ReleaseNote
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.utils.ports import find_free_addresses
from snipelead.voters.voter import Voter

__all__ = ['BenchControl']

# Changes cycle through this many routes, so that a node that missed many
# changes has missed several of the same route.
CHANGED_ROUTE_COUNT = 20
INITIAL_DEADLINE_MS = 1_000
# High enough that the snapshot baseline is never deferred.
BASELINE_MAX_SNAPSHOTS = 10_000


def _make_route(index, deadline_ms=INITIAL_DEADLINE_MS):
    name = f'service-{index}'
    return Route(
        f'route-{name}',
        name,
        path_prefix=f'/{name}',
        deadline_ms=deadline_ms,
        settings=(f'setting-{name}',),
    )


class BenchControl:
    """Single control with a single voter.

    Attributes
    ----------
    accepted_ns : int
        Time at which the last note was accepted, in nanoseconds of the
        monotonic clock.
    """

    def __init__(self, options, transport, nursery, directory):
        self.options = options
        self.transport = transport
        self.nursery = nursery
        address, operator_address = find_free_addresses(2)
        peer = Peer(control_id=CONTROL_ID, zone='a', address=address)
        self.settings = ControlSettings(
            control_id=CONTROL_ID,
            zone='a',
            address=address,
            operator_address=operator_address,
            data_dir=directory,
            peers=(peer,),
            preference=options.preference,
        )
        self.voter = Voter(self.settings, transport)
        self.voter_started = False
        self.service = None
        self.cancel_scope = None
        self.stopped = None
        self.accepted_ns = 0
        self.update_builder = make_update_builder(options.strategy, self.voter)

    async def start(self):
        """Start the distribution service, and the voter on the first call."""
        if not self.voter_started:
            self.voter_started = True
            await self.nursery.start(self.voter.run)
        self.service = ControlService(
            self.settings, self.voter, self.transport
        )
        self.service.update_builder = self.update_builder
        if self.options.strategy is UpdateStrategy.SNAPSHOT:
            self.service.snapshot_limiter.limit = BASELINE_MAX_SNAPSHOTS
        self.stopped = trio.Event()
        await self.nursery.start(self._serve)

    async def stop(self):
        """Stop the distribution service; the voter keeps running."""
        self.cancel_scope.cancel()
        await self.stopped.wait()

    async def accept_first_release(self, services):
        """Submit the first release."""
        changes = []
        for index in range(services):
            name = f'service-{index}'
            changes += [
                Change('add', service=Service(name)),
                Change('add', setting=Setting(f'setting-{name}', 1)),
                Change('add', route=_make_route(index)),
            ]
        await self._submit(changes)

    async def change_routes(self, count):
        """Submit releases that change one route; return the last number."""
        for _ in range(count):
            number = self.voter.current.number + 1
            route = _make_route(
                number % min(CHANGED_ROUTE_COUNT, self.options.services),
                INITIAL_DEADLINE_MS + number,
            )
            await self._submit([Change('change', route=route)])
        return self.voter.current.number

    async def _submit(self, changes):
        number = self.voter.current.number + 1
        note = ReleaseNote(number, f'note-{number}', tuple(changes))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_acceptance_time, number)
            await self.voter.submit(note)
        if isinstance(self.update_builder, StepUpdates):
            self.update_builder.record(self.voter.current)

    async def _record_acceptance_time(self, number):
        """Record when a release is accepted and applied."""
        while self.voter.current.number < number:
            await self.voter.wait_changed()
        self.accepted_ns = time.monotonic_ns()

    async def _serve(self, *, task_status=trio.TASK_STATUS_IGNORED):
        handlers = self.voter.handlers() | self.service.handlers()
        # Only this process submits notes.
        del handlers[SubmitRequest]
        with trio.CancelScope() as self.cancel_scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    self.transport.serve, self.settings.address, handlers
                )
                await nursery.start(self.service.run)
                task_status.started()
        self.stopped.set()
