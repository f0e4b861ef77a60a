from msgspec.structs import replace
from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import StaleRequestError
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.messages import SyncReply
from snipelead.messages import SyncRequest
from snipelead.releases.document import ReleaseId
from snipelead.settings.schema import ControlTimings
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource
from snipelead.types import Preference
from snipelead.types import TargetState

HUGE_INCARNATION = {'incarnation': str(2**64)}


async def _call_handler(control, message):
    return await control.service.handlers()[type(message)](message)


class SyncTest(TestCase):
    def test_node_gets_release_and_becomes_ready(self):
        async def run():
            async with open_mesh() as mesh:
                await mesh.start_control(0, FakeSource(make_release()))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                self.assertEqual(
                    make_release().release_id, node.holder.current.release_id
                )

        run_mesh(run)

    def test_change_reaches_node_as_delta_immediately(self):
        async def run():
            async with open_mesh() as mesh:
                first = make_release(services=230)
                control = await mesh.start_control(0, FakeSource(first))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                await trio.sleep(1)
                before = node.transport.stats.received_bytes
                started_at = trio.current_time()
                control.source.publish(change_route(first))
                await wait_until(lambda: node.number == 2)
                self.assertLess(trio.current_time() - started_at, 0.1)
                received = node.transport.stats.received_bytes - before
                self.assertLess(received, 600)

        run_mesh(run)

    def test_missed_changes_are_sent_as_one_net_delta(self):
        async def run():
            async with open_mesh() as mesh:
                release = make_release(services=230)
                control = await mesh.start_control(0, FakeSource(release))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                mesh.network.cut(node.address, control.address)
                for index in range(500):
                    release = change_route(release, index % 20)
                    control.source.publish(release)
                await trio.sleep(60)
                snapshots = control.service.snapshot_limiter.admissions
                mesh.network.heal()
                await wait_until(lambda: node.number == 501)
                self.assertEqual([1, 501], node.applied_numbers)
                self.assertEqual(
                    snapshots, control.service.snapshot_limiter.admissions
                )

        run_mesh(run)

    def test_unknown_base_leads_to_snapshot(self):
        async def run():
            async with open_mesh() as mesh:
                release = make_release()
                source = FakeSource(release, max_recent=1)
                control = await mesh.start_control(0, source)
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                source.publish(change_route(release))
                await wait_until(lambda: node.number == 2)
                self.assertEqual(
                    2, control.service.snapshot_limiter.admissions
                )

        run_mesh(run)

    def test_digest_mismatch_leads_to_snapshot(self):
        async def run():
            async with open_mesh() as mesh:
                release = make_release(services=50)
                control = await mesh.start_control(0, FakeSource(release))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                newer = change_route(release)
                make_delta = control.service.update_builder.delta_reply

                def corrupt(held, target):
                    reply = make_delta(held, change_route(newer))
                    delta = replace(reply.delta, result=target.release_id)
                    return SyncReply(delta=delta)

                control.service.update_builder.delta_reply = corrupt
                control.source.publish(newer)
                await wait_until(lambda: node.number == 2)
                self.assertEqual(
                    newer.release_id, node.holder.current.release_id
                )
                self.assertFalse(node.client.applier.needs_snapshot)

        run_mesh(run)

    def test_node_ignores_the_older_release_of_a_lagging_control(self):
        async def run():
            async with open_mesh(('a', 'a')) as mesh:
                old = make_release()
                new = change_route(old)
                first = await mesh.start_control(0, FakeSource(new))
                stale = FakeSource(old)
                stale.certification_succeeds = False
                second = await mesh.start_control(1, stale)
                node = await mesh.start_node()
                await wait_until(lambda: node.number == 2)
                for _ in range(4):
                    preferred = node.client.links.choose()
                    mesh.network.cut(node.address, preferred.peer.address)
                    await trio.sleep(7)
                    mesh.network.heal()
                self.assertEqual(
                    sorted(node.applied_numbers), node.applied_numbers
                )
                self.assertEqual(2, node.number)
                # The node offered its newer release to the second control.
                self.assertEqual(2, second.service.publisher.newest.number)
                self.assertEqual(2, first.service.publisher.newest.number)

        run_mesh(run)

    def test_node_recovers_after_a_partition(self):
        async def run():
            async with open_mesh() as mesh:
                release = make_release()
                control = await mesh.start_control(0, FakeSource(release))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                mesh.network.cut(node.address, control.address)
                control.source.publish(change_route(release))
                await trio.sleep(30)
                self.assertEqual(1, node.number)
                mesh.network.heal()
                started_at = trio.current_time()
                await wait_until(lambda: node.number == 2)
                self.assertLess(trio.current_time() - started_at, 8)

        run_mesh(run)

    def test_preference_for_bytes_batches_releases(self):
        async def run():
            async with open_mesh() as mesh:
                release = make_release()
                control = await mesh.start_control(
                    0, FakeSource(release), preference=Preference.BYTES
                )
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                await trio.sleep(1)
                for _ in range(10):
                    release = change_route(release)
                    control.source.publish(release)
                    await trio.sleep(0.01)
                await wait_until(lambda: node.number == 11)
                self.assertEqual([1, 11], node.applied_numbers)

        run_mesh(run)

    def test_poll_older_than_the_latest_is_rejected(self):
        async def run():
            async with open_mesh() as mesh:
                control = await mesh.start_control()
                held = ReleaseId(0, '')
                await _call_handler(control, SyncRequest('n', 1, 5, held))
                with ExpectedException(StaleRequestError):
                    await _call_handler(control, SyncRequest('n', 1, 4, held))

        run_mesh(run)

    def test_rejection_without_a_valid_incarnation_is_a_failed_poll(self):
        """The error of reading it, or of the next poll, ended the node."""

        async def run():
            async with open_mesh() as mesh:
                node = await mesh.start_node()
                for details in ({}, {'incarnation': 'x'}, HUGE_INCARNATION):
                    info = ErrorInfo(StaleRequestError.code, '', None, details)
                    link = node.client.links.choose()
                    node.client.handle_failure(link, error_from_info(info))
                    self.assertEqual(1, node.local_targets.incarnation)

        run_mesh(run)

    def test_node_switches_from_a_possibly_stale_control(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                release = make_release()
                sources = [FakeSource(release) for _ in range(2)]
                for index, source in enumerate(sources):
                    await mesh.start_control(index, source)
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                # The control of the node's zone does not receive the next
                # release.
                sources[0].certification_succeeds = False
                sources[1].publish(change_route(release))
                started_at = trio.current_time()
                await wait_until(lambda: node.number == 2)
                self.assertLess(trio.current_time() - started_at, 5)

        run_mesh(run)

    def test_node_stays_with_a_control_that_is_current_again(self):
        async def run(seed):
            async with open_mesh(('a', 'b', 'c'), seed=seed) as mesh:
                sources = [FakeSource(make_release()) for _ in range(3)]
                controls = [
                    await mesh.start_control(index, source)
                    for index, source in enumerate(sources)
                ]
                node = await mesh.start_node()
                node.directory.subscribe('service-0')
                await wait_until(lambda: node.holder.ready)
                for source in sources:
                    source.certification_succeeds = False
                links = node.client.links
                # Wait until the node knows that all controls are possibly
                # stale.
                await wait_until(
                    lambda: all(
                        link.possibly_stale_until > trio.current_time()
                        for link in links.links
                    )
                )
                for source in sources:
                    source.certification_succeeds = True
                await wait_until(
                    lambda: (
                        not any(
                            c.service.publisher.possibly_stale
                            for c in controls
                        )
                    )
                )
                local_directory = controls[0].service.directory.merged
                await wait_until(
                    lambda: node.directory.epoch == local_directory.epoch
                )
                others = [
                    control.service.sessions.by_node['n0']
                    for control in controls[1:]
                ]
                last_polls = [session.last_polled_at for session in others]
                # Longer than the maximum time for which a control is avoided.
                await trio.sleep(50)
                self.assertEqual(
                    last_polls, [s.last_polled_at for s in others]
                )

        for seed in range(5):
            run_mesh(lambda seed=seed: run(seed), seed)

    def test_node_stays_with_the_only_control_if_possibly_stale(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                sources = [FakeSource(make_release()) for _ in range(2)]
                controls = [
                    await mesh.start_control(index, source)
                    for index, source in enumerate(sources)
                ]
                nodes = [await mesh.start_node(index) for index in range(2)]
                await wait_until(lambda: all(n.holder.ready for n in nodes))
                sources[0].certification_succeeds = False
                for process in (*nodes, controls[0]):
                    mesh.network.cut(process.address, controls[1].address)
                await trio.sleep(60)
                nodes[0].directory.subscribe('service-0')
                slowest_s = 0.0
                for step in range(20):
                    state = (TargetState.SERVING, TargetState.LEAVING)[
                        step % 2
                    ]
                    nodes[1].announce(state=state)
                    started_at = trio.current_time()
                    await wait_until(
                        lambda state=state: (
                            nodes[0].directory.get_targets('service-0')
                            and nodes[0]
                            .directory.get_targets('service-0')[0]
                            .state
                            is state
                        )
                    )
                    slowest_s = max(
                        slowest_s, trio.current_time() - started_at
                    )
                    await trio.sleep(5)
                self.assertLess(slowest_s, 3)

        run_mesh(run)


class ThunderingHerdTest(TestCase):
    def test_concurrent_snapshots_stay_within_the_limit(self):
        async def run():
            async with open_mesh(max_delay_s=0.02) as mesh:
                source = FakeSource(make_release(services=50))
                control = await mesh.start_control(0, source, max_snapshots=8)
                nodes = [await mesh.start_node(i) for i in range(200)]
                started_at = trio.current_time()
                await wait_until(lambda: all(n.holder.ready for n in nodes))
                self.assertLessEqual(
                    control.service.snapshot_limiter.peak_in_flight, 8
                )
                self.assertGreater(
                    control.service.snapshot_limiter.refusals, 0
                )
                self.assertLess(trio.current_time() - started_at, 10)

        run_mesh(run)

    def test_concurrent_starts_share_certifications(self):
        async def run():
            async with open_mesh() as mesh:
                source = FakeSource(make_release())
                source.certify_time_s = 0.2
                await mesh.start_control(0, source, max_snapshots=200)
                nodes = [await mesh.start_node(i) for i in range(100)]
                await wait_until(lambda: all(n.holder.ready for n in nodes))
                self.assertLess(source.certify_count, 5)

        run_mesh(run)


class ReleaseFloorTest(TestCase):
    def test_uncertified_control_gives_no_floor(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                old = make_release()
                stale = FakeSource(old)
                stale.certification_succeeds = False
                await mesh.start_control(0, stale)
                await mesh.start_control(1, FakeSource(change_route(old)))
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                self.assertEqual(2, node.number)

        run_mesh(run)

    def test_control_of_another_zone_gives_no_uncertified_floor(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                old = make_release()
                stale = FakeSource(old)
                stale.certification_succeeds = False
                await mesh.start_control(1, stale)
                # The node is assumed to have run release 2 before a restart.
                node = await mesh.start_node()
                await trio.sleep(120)
                self.assertFalse(node.holder.ready)
                same_zone_source = FakeSource(change_route(old))
                same_zone_source.certification_succeeds = False
                await mesh.start_control(0, same_zone_source)
                await wait_until(lambda: node.holder.ready)
                self.assertEqual(2, node.number)

        run_mesh(run)

    def test_highest_reachable_release_is_served_after_the_limit(self):
        async def run():
            async with open_mesh(('a', 'a')) as mesh:
                old = make_release()
                for index, release in enumerate((old, change_route(old))):
                    source = FakeSource(release)
                    source.certification_succeeds = False
                    await mesh.start_control(index, source)
                await trio.sleep(15)
                started_at = trio.current_time()
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                self.assertEqual(2, node.number)
                waited = trio.current_time() - started_at
                self.assertGreaterEqual(waited, 10)
                self.assertLess(waited, 15)

        run_mesh(run)

    def test_floor_includes_release_of_live_nodes_after_control_restart(self):
        async def run():
            timings = ControlTimings(target_lease_ms=12_000)
            async with open_mesh() as mesh:
                old = make_release()
                control = await mesh.start_control(
                    0, FakeSource(change_route(old)), timings=timings
                )
                survivor = await mesh.start_node(0)
                await wait_until(lambda: survivor.holder.ready)
                control.scope.cancel()
                await trio.sleep(1)
                behind = FakeSource(old)
                behind.certification_succeeds = False
                await mesh.start_control(0, behind, timings=timings)
                restarted = await mesh.start_node(1)
                await wait_until(lambda: restarted.holder.ready)
                self.assertEqual(2, restarted.number)

        run_mesh(run)
