"""Seeded random faults; a node in touch must run each release in time."""

from functools import partial
from math import inf
import random

from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import CONTROL_TIMINGS
from snipelead.controls.tests.mesh import NODE_TIMINGS
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import STABLE_WINDOW_S
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource

SEEDS = range(16)
FAULTS = 14
ZONES = ('a', 'b', 'c')
NODES = 6
# A release must be in force on nodes in touch this long after its acceptance.
APPLY_LIMIT_S = 2.0
CHANGE_INTERVAL_S = 0.7
CHECK_INTERVAL_S = 0.05
MAX_FAULT_S = 14.0
MAX_CATCH_UP_S = 0.8


class TimelyReleasesRun:
    """One run of overlapping faults while the releases keep changing.

    At most one control is faulty at a time; the other two accept releases.
    Nodes may be cut off at any time.

    Attributes
    ----------
    accepted : list of (float, ReleaseNumber)
        Time of the acceptance of each release, and its number.
    isolated, down : set of int
        Controls that are up without a majority, and those that are down.
    core_event_at : float
        Time of the last fault, or end of one, of any control.
    node_event_at : list of float
        Time of the last cut, or end of one, of each node.
    late : list of tuple
        Times at which a node in touch ran an older release: time, node, its
        release and the one that it had to run.
    """

    def __init__(self, mesh, seed):
        self.mesh = mesh
        self.random = random.Random(seed)
        self.newest = make_release()
        self.accepted = [(0.0, self.newest.number)]
        self.sources = [FakeSource(self.newest) for _ in ZONES]
        self.controls = []
        self.nodes = []
        self.isolated = set()
        self.down = set()
        self.control_fault = False
        self.core_event_at = -inf
        self.node_event_at = [-inf] * NODES
        self.cut_nodes = set()
        self.late = []

    async def start(self):
        for index, source in enumerate(self.sources):
            self.controls.append(
                await self.mesh.start_control(
                    index, source, timings=CONTROL_TIMINGS
                )
            )
        for index in range(NODES):
            node = await self.mesh.start_node(
                index, ZONES[index % len(ZONES)], timings=NODE_TIMINGS
            )
            self.nodes.append(node)

    async def publish_releases(self):
        while True:
            await trio.sleep(CHANGE_INTERVAL_S)
            self.newest = change_route(self.newest, 0)
            self.accepted.append((trio.current_time(), self.newest.number))
            for index, source in enumerate(self.sources):
                if index not in self.isolated | self.down:
                    source.publish(self.newest)

    async def check(self):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            due = max(
                number
                for accepted_at, number in self.accepted
                if accepted_at <= now - APPLY_LIMIT_S
            )
            for index, node in enumerate(self.nodes):
                calm_since = max(self.core_event_at, self.node_event_at[index])
                in_touch = (
                    index not in self.cut_nodes
                    and now - calm_since > STABLE_WINDOW_S
                )
                if in_touch and node.number < due:
                    self.late.append((round(now, 2), index, node.number, due))

    def cut_links(self, node_indexes, control_indexes, cut):
        links = self.mesh.network.dropping_links
        for node_index in node_indexes:
            for control_index in control_indexes:
                one = self.nodes[node_index].address
                other = self.controls[control_index].address
                change = links.update if cut else links.difference_update
                change({(one, other), (other, one)})

    def set_nodes_cut(self, indexes, cut):
        now = trio.current_time()
        for index in indexes:
            self.node_event_at[index] = now
            (self.cut_nodes.add if cut else self.cut_nodes.discard)(index)

    async def isolate_control(self, index, duration_s):
        self.isolated.add(index)
        self.sources[index].certification_succeeds = False
        self.core_event_at = trio.current_time()
        await trio.sleep(duration_s)
        self.core_event_at = trio.current_time()
        await self.catch_up(index)

    async def catch_up(self, index):
        await trio.sleep(self.random.uniform(0.1, MAX_CATCH_UP_S))
        self.isolated.discard(index)
        self.down.discard(index)
        self.sources[index].publish(self.newest)
        self.sources[index].certification_succeeds = True

    async def cut_core(self, duration_s):
        """Isolate a control from the others; all nodes still reach it."""
        await self.isolate_control(
            self.random.randrange(len(ZONES)), duration_s
        )

    async def cut_zone(self, duration_s):
        """Cut a zone off, whose nodes still reach the control in it."""
        zone = self.random.randrange(len(ZONES))
        inside = [i for i in range(NODES) if i % len(ZONES) == zone]
        outside = [i for i in range(NODES) if i not in inside]
        others = [i for i in range(len(ZONES)) if i != zone]
        self.set_nodes_cut(inside, True)
        self.cut_links(inside, others, True)
        self.cut_links(outside, [zone], True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.isolate_control, zone, duration_s)
            await trio.sleep(duration_s)
            self.cut_links(inside, others, False)
            self.cut_links(outside, [zone], False)
            self.set_nodes_cut(inside, False)

    async def freeze_control(self, duration_s):
        """Stop a control without a sign to the others, then resume it."""
        index = self.random.randrange(len(ZONES))
        address = self.controls[index].address
        self.down.add(index)
        self.sources[index].certification_succeeds = False
        self.core_event_at = trio.current_time()
        self.mesh.network.freeze(address)
        await trio.sleep(duration_s)
        self.mesh.network.thaw(address)
        self.core_event_at = trio.current_time()
        await self.catch_up(index)

    async def restart_control(self, duration_s):
        """Kill a control; its address refuses connections meanwhile."""
        index = self.random.randrange(len(ZONES))
        self.down.add(index)
        self.core_event_at = trio.current_time()
        self.controls[index].scope.cancel()
        await trio.sleep(duration_s)
        source = self.sources[index]
        source.certification_succeeds = False
        self.controls[index] = await self.mesh.start_control(
            index, source, timings=CONTROL_TIMINGS
        )
        self.core_event_at = trio.current_time()
        await self.catch_up(index)

    async def run_control_fault(self, fault, duration_s):
        self.control_fault = True
        await fault(duration_s)
        self.control_fault = False

    async def cut_some_nodes(self, duration_s):
        """Cut a few nodes off from all controls."""
        indexes = self.random.sample(range(NODES), 2)
        if self.cut_nodes.intersection(indexes):
            return
        controls = range(len(ZONES))
        self.set_nodes_cut(indexes, True)
        self.cut_links(indexes, controls, True)
        await trio.sleep(duration_s)
        self.cut_links(indexes, controls, False)
        self.set_nodes_cut(indexes, False)

    async def run(self):
        await self.start()
        await trio.sleep(STABLE_WINDOW_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.publish_releases)
            nursery.start_soon(self.check)
            async with trio.open_nursery() as faults:
                for _ in range(FAULTS):
                    await trio.sleep(self.random.uniform(0.5, 8.0))
                    duration_s = self.random.uniform(0.5, MAX_FAULT_S)
                    if self.control_fault or self.random.random() < 0.3:
                        if not self.control_fault:
                            faults.start_soon(self.cut_some_nodes, duration_s)
                        continue
                    fault = self.random.choice(
                        (
                            self.cut_core,
                            self.cut_core,
                            self.cut_zone,
                            self.freeze_control,
                            self.restart_control,
                        )
                    )
                    faults.start_soon(
                        self.run_control_fault, fault, duration_s
                    )
            await trio.sleep(2 * STABLE_WINDOW_S)
            nursery.cancel_scope.cancel()


class TimelyReleasesTest(TestCase):
    def test_node_in_touch_runs_each_release_in_time(self):
        late = {}
        for seed in SEEDS:
            run_mesh(partial(self.run_seed, seed, late), seed)
        self.assertEqual({}, late)

    async def run_seed(self, seed, late):
        async with open_mesh(ZONES, seed=seed, handshakes=True) as mesh:
            run = TimelyReleasesRun(mesh, seed)
            await run.run()
        if run.late:
            late[seed] = (len(run.late), run.late[0], run.late[-1])
