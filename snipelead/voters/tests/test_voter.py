from unittest import mock

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.messages import SubmitRequest
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.testing.cluster import make_note
from snipelead.testing.cluster import open_cluster
from snipelead.testing.simulation import run_simulated
from snipelead.types import OutcomeKind
from snipelead.types import Ran
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import VoterBusyError
from snipelead.voters.replication import Replication
from snipelead.voters.transfer import LeadershipTransfer

CLIENT_ADDRESS = 'address-node'


class ClusterCase(TestCase):
    names = 'abc'
    options = {}

    def run_cluster(self, test):
        async def main():
            async with open_cluster(self.names, **self.options) as cluster:
                await cluster.wait_fully_formed()
                await test(cluster)

        run_simulated(main)

    def assert_accepted(self, reply):
        self.assertEqual(OutcomeKind.ACCEPTED, reply.outcome)


class SingleVoterTest(ClusterCase):
    names = 'a'

    def test_accepted_release_survives_a_restart(self):
        async def test(cluster):
            await cluster.wait_leader()
            self.assert_accepted(
                await cluster.voters['a'].submit(make_note(1))
            )
            await cluster.kill('a')
            await cluster.start('a')
            await cluster.wait_leader()
            self.assertTrue(await cluster.voters['a'].certify())
            self.assertEqual(1, cluster.voters['a'].current.number)

        self.run_cluster(test)


class ThreeVotersTest(ClusterCase):
    def test_voter_restarted_alone_knows_the_published_release(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            for number in (1, 2):
                self.assert_accepted(
                    await cluster.voters[leader].submit(make_note(number))
                )
            await cluster.wait_release(2)
            for name in cluster.names:
                await cluster.kill(name)
            for name in cluster.names:
                await cluster.start(name)
                voter = cluster.voters[name]
                self.assertEqual(2, voter.current.number)
                self.assertFalse(await voter.certify())
                await cluster.kill(name)

        self.run_cluster(test)

    def test_accepted_release_can_be_read_back_immediately(self):
        async def test(cluster):
            await cluster.wait_leader()
            for number, name in enumerate(cluster.names, 1):
                voter = cluster.voters[name]
                self.assert_accepted(await voter.submit(make_note(number)))
                self.assertEqual(number, voter.current.number)

        self.run_cluster(test)

    def test_log_time_advances_by_elapsed_time_only(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            claim = ClaimRequest('route', 'key', 'claim-1')
            started_at = trio.current_time()
            self.assertTrue(
                (await cluster.voters[leader].claim(claim)).granted
            )
            before_ms = cluster.voters[
                leader
            ].replica.journal.newest_log_time_ms
            await trio.sleep(5)
            await cluster.kill(leader)
            # A wall clock that is years ahead must not expire the claim.
            with mock.patch('time.time_ns', return_value=2**62):
                voter = cluster.voters[await cluster.wait_leader(leader)]
                late = ClaimRequest('route', 'key', 'claim-2')
                self.assertFalse((await voter.claim(late)).granted)
            passed_ms = voter.replica.journal.newest_log_time_ms - before_ms
            self.assertGreaterEqual(passed_ms, 0)
            limit_ms = (trio.current_time() - started_at) * 1_000
            self.assertLessEqual(passed_ms, limit_ms)

        self.run_cluster(test)

    def test_log_that_ends_before_the_published_index_is_refused(self):
        async def test(cluster):
            await cluster.wait_leader()
            name = cluster.followers[0]
            self.assert_accepted(
                await cluster.voters[name].submit(make_note(1))
            )
            await cluster.wait_release(1)
            await cluster.kill(name)
            disk = cluster.disks[name]
            del disk.contents[disk.last_file('log-')][-10:]
            await cluster.start(name)
            self.assertIsInstance(cluster.failures[name], CorruptStorageError)

        self.run_cluster(test)

    def test_follower_forwards_and_certifies(self):
        async def test(cluster):
            await cluster.wait_leader()
            voter = cluster.voters[cluster.followers[0]]
            reply = await voter.submit(make_note(1))
            self.assert_accepted(reply)
            self.assertTrue(await voter.certify())
            self.assertEqual(reply.held, voter.current.release_id)

        self.run_cluster(test)

    def test_release_wakes_tasks_waiting_on_a_follower(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            voter = cluster.voters[cluster.followers[0]]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(voter.wait_changed)
                await trio.sleep(0)
                await cluster.voters[leader].submit(make_note(1))
            self.assertEqual(1, voter.current.number)

        self.run_cluster(test)

    def test_new_leader_keeps_accepted_releases(self):
        async def test(cluster):
            old = await cluster.wait_leader()
            self.assert_accepted(
                await cluster.voters[old].submit(make_note(1))
            )
            await cluster.kill(old)
            new = await cluster.wait_leader()
            self.assert_accepted(
                await cluster.voters[new].submit(make_note(2))
            )
            await cluster.start(old)
            await cluster.wait_release(2)

        self.run_cluster(test)

    def test_isolated_leader_neither_accepts_nor_certifies(self):
        async def test(cluster):
            old = await cluster.wait_leader()
            cluster.isolate(old)
            voter = cluster.voters[old]
            with ExpectedException(OutcomeUnknownError):
                await voter.submit(make_note(1, 'lost', 'lost'))
            self.assertFalse(await voter.certify())
            new = await cluster.wait_leader(other_than=old)
            self.assert_accepted(
                await cluster.voters[new].submit(make_note(1))
            )
            self.assertIsNone(voter.replica.leadership)
            self.assertFalse(await voter.certify())
            with ExpectedException(NoQuorumError):
                await voter.submit(make_note(2))
            cluster.network.heal()
            await cluster.wait_release(1)
            self.assertEqual(['note-1'], list(await voter.get_outcomes()))

        self.run_cluster(test)

    async def certify_after_resume(self, cluster):
        """Return whether a resumed old leader certifies an old release."""
        old = await cluster.wait_leader()
        voter = cluster.voters[old]
        # A suspended process does not see its own timers expire.
        voter.election.check_quorum = lambda: None
        cluster.network.freeze(cluster.address(old))
        new = await cluster.wait_leader(other_than=old)
        self.assert_accepted(await cluster.voters[new].submit(make_note(1)))
        self.assertIsNotNone(voter.replica.leadership)
        cluster.network.thaw(cluster.address(old))
        certified = await voter.certify()
        return certified and voter.current.number < 1

    def test_resumed_old_leader_does_not_certify(self):
        async def test(cluster):
            self.assertFalse(await self.certify_after_resume(cluster))

        self.run_cluster(test)

    def test_old_leader_would_certify_without_confirming_leadership(self):
        # The check above must detect a leader that skips the confirmation.
        async def skip_confirmation(replication):
            return replication.replica.journal.commit_index

        async def test(cluster):
            with mock.patch.object(
                Replication, 'confirm_leadership', skip_confirmation
            ):
                self.assertTrue(await self.certify_after_resume(cluster))

        self.run_cluster(test)

    def test_reconnected_voter_does_not_disrupt_the_leader(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            term = cluster.voters[leader].replica.term
            isolated = cluster.followers[0]
            cluster.isolate(isolated)
            await trio.sleep(20)
            cluster.network.heal()
            await trio.sleep(5)
            self.assertEqual(leader, cluster.leader)
            self.assertEqual(term, cluster.voters[isolated].replica.term)

        self.run_cluster(test)

    def test_submission_without_a_majority_is_refused_quickly(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            alone = cluster.followers[0]
            for name in cluster.names:
                if name != alone:
                    await cluster.kill(name)
            await trio.sleep(5)
            started_at = trio.current_time()
            with ExpectedException(NoQuorumError):
                await cluster.voters[alone].submit(make_note(1))
            self.assertTrue(trio.current_time() - started_at < 0.2)
            await cluster.start(leader)
            await cluster.wait_leader()
            self.assert_accepted(
                await cluster.voters[alone].submit(make_note(1))
            )

        self.run_cluster(test)

    def test_resend_after_lost_reply_and_leader_change_is_applied_once(self):
        async def test(cluster):
            old = await cluster.wait_leader()
            address = cluster.address(old)
            cluster.network.dropping_links.add((address, CLIENT_ADDRESS))
            channel = cluster.network.transport(CLIENT_ADDRESS).connect(
                address
            )
            with trio.move_on_after(1):
                await channel.call(SubmitRequest(make_note(1)), 5)
            await cluster.kill(old)
            new = await cluster.wait_leader()
            reply = await cluster.voters[new].submit(make_note(1))
            self.assert_accepted(reply)
            again = await cluster.voters[new].submit(make_note(1))
            self.assertEqual(reply, again)
            numbers = cluster.voters[new].replica.journal.state.history.past
            self.assertEqual(1, len(numbers))

        self.run_cluster(test)

    def test_only_one_of_concurrent_notes_with_a_number_is_accepted(self):
        async def test(cluster):
            await cluster.wait_leader()
            replies = {}

            async def submit(name):
                note = make_note(7, f'note-{name}', f'service-{name}')
                replies[name] = await cluster.voters[name].submit(note)

            async with trio.open_nursery() as nursery:
                for name in cluster.names:
                    nursery.start_soon(submit, name)
            winners = [n for n, r in replies.items() if not r.code]
            self.assertEqual(1, len(winners))
            for name in set(cluster.names) - set(winners):
                self.assertEqual('SL7003', replies[name].code)
                self.assertEqual(
                    f'note-{winners[0]}', replies[name].details['winner']
                )

        self.run_cluster(test)

    def test_claims_survive_a_leader_change(self):
        async def test(cluster):
            first = ClaimRequest('r', 'k', 'c1', 'f')
            second = ClaimRequest('r', 'k', 'c2', 'f')
            old = await cluster.wait_leader()
            voter = cluster.voters[cluster.followers[0]]
            self.assertTrue((await voter.claim(first)).granted)
            await cluster.kill(old)
            await cluster.wait_leader()
            self.assertFalse((await voter.claim(second)).granted)
            self.assertTrue((await voter.claim(first)).granted)
            await voter.settle(SettleRequest('r', 'k', 'c1', Ran.NO))
            self.assertTrue((await voter.claim(second)).granted)

        self.run_cluster(test)

    def test_leader_without_successor_accepts_commands_again(self):
        async def test(cluster):
            voter = cluster.voters[await cluster.wait_leader()]
            with mock.patch.object(
                LeadershipTransfer, 'find_successors'
            ) as find:
                find.return_value = []
                await voter.drain()
            self.assertIsNotNone(voter.replica.leadership)
            self.assert_accepted(await voter.submit(make_note(1)))

        self.run_cluster(test)

    def test_leadership_transfer_delays_no_command(self):
        async def test(cluster):
            old = await cluster.wait_leader()
            durations_s = []

            async def claim(name, number):
                started_at = trio.current_time()
                request = ClaimRequest('r', f'{name}{number}', 'c')
                reply = await cluster.voters[name].claim(request)
                self.assertTrue(reply.granted)
                durations_s.append(trio.current_time() - started_at)

            async with trio.open_nursery() as nursery:
                for number in range(50):
                    for name in cluster.names:
                        nursery.start_soon(claim, name, number)
                    await trio.sleep(0.005)
                    if number == 20:
                        nursery.start_soon(cluster.voters[old].drain)
            self.assertNotIn(cluster.leader, (None, old))
            # Shorter than an election timeout.
            self.assertTrue(max(durations_s) < 0.4)

        self.run_cluster(test)

    def test_refusal_after_a_lost_reply_means_unknown_outcome(self):
        lost = RpcTimeoutError('lost')
        busy = VoterBusyError('busy')

        async def test(cluster):
            proposals = cluster.voters['a'].proposals
            request = ClaimRequest('r', 'k', 'c')
            for errors, expected_error in (
                ([busy], VoterBusyError),
                ([lost] + [busy] * 100, OutcomeUnknownError),
            ):
                attempt = mock.AsyncMock(side_effect=errors)
                with mock.patch.object(proposals, 'propose_once', attempt):
                    with ExpectedException(expected_error):
                        await cluster.voters['a'].claim(request)

        self.run_cluster(test)

    def test_concurrent_proposals_share_writes(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            before = cluster.disks[leader].write_count
            async with trio.open_nursery() as nursery:
                for number in range(300):
                    request = ClaimRequest('r', str(number), 'c')
                    nursery.start_soon(cluster.voters[leader].claim, request)
            self.assertTrue(cluster.disks[leader].write_count - before < 20)

        self.run_cluster(test)

    def test_others_continue_while_the_disk_of_the_leader_is_full(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            cluster.disks[leader].free_bytes = 0
            # The followers store the entry that the leader cannot write.
            self.assert_accepted(
                await cluster.voters[leader].submit(make_note(1))
            )
            others = [n for n in cluster.voters if n != leader]
            await cluster.wait_until(lambda: cluster.leader in others, 30)
            new = cluster.voters[cluster.leader]
            self.assert_accepted(await new.submit(make_note(2)))
            cluster.disks[leader].free_bytes = None
            # The old leader recovers without a restart.
            await cluster.wait_release(2)
            self.assertEqual({}, cluster.failures)

        self.run_cluster(test)

    def test_voter_can_be_stopped_while_its_disk_is_full(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            cluster.disks[leader].free_bytes = 0
            self.assert_accepted(
                await cluster.voters[leader].submit(make_note(1))
            )

        self.run_cluster(test)

    def test_failed_write_stops_the_voter_and_the_others_continue(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            cluster.disks[leader].is_failing = True
            with ExpectedException(OutcomeUnknownError):
                await cluster.voters[leader].submit(make_note(1))
            await cluster.wait_until(lambda: leader in cluster.failures)
            self.assertIsInstance(cluster.failures[leader], StorageWriteError)
            new = await cluster.wait_leader()
            self.assert_accepted(
                await cluster.voters[new].submit(make_note(1))
            )
            cluster.disks[leader].is_failing = False
            await cluster.start(leader)
            await cluster.wait_release(1)

        self.run_cluster(test)

    def test_leader_with_a_hanging_disk_is_replaced(self):
        async def test(cluster):
            old = await cluster.wait_leader()
            cluster.disks[old].max_write_time_s = 1e9
            with trio.move_on_after(0.5):
                await cluster.voters[old].submit(make_note(1))
            new = await cluster.wait_leader(other_than=old)
            self.assert_accepted(
                await cluster.voters[new].submit(make_note(1))
            )

        self.run_cluster(test)


class CompactionTest(ClusterCase):
    options = {'snapshot_entries': 10}

    def test_log_is_compacted_and_a_lagging_voter_gets_a_snapshot(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lagging = cluster.followers[0]
            await cluster.kill(lagging)
            for number in range(1, 100):
                await cluster.voters[leader].submit(make_note(number))
            log = cluster.voters[leader].replica.journal.log
            self.assertTrue(len(log.entries) < 40)
            await cluster.start(lagging)
            await cluster.wait_release(99)
            journal = cluster.voters[lagging].replica.journal
            self.assertTrue(journal.log.base_index > 50)
            await cluster.kill(lagging)
            await cluster.start(lagging)
            await cluster.wait_release(99)
            state = cluster.voters[lagging].replica.journal.state
            self.assertEqual(99, len(state.note_outcomes))

        self.run_cluster(test)
