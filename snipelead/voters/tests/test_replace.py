from unittest import mock

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import BaseUnknownError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeForgottenError
from snipelead.releases.delta import make_delta
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.exceptions import BaseNotCurrentError
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.types import OutcomeKind
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Replace
from snipelead.voters.state import State
from snipelead.voters.tests.test_voter import ClusterCase

ACCEPTED = OutcomeKind.ACCEPTED
REFUSED = OutcomeKind.REFUSED


def make_release(number, service=None):
    name = service or f'service-{number}'
    return Release(
        number, {name: Service(name)}, {'r': Route('r', name, '/r/')}
    )


class ReplaceStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = State()
        self.index = 0

    def replace(self, base, release, with_delta=True):
        self.index += 1
        delta = make_delta(self.state.current, release) if with_delta else None
        command = encode_command(Replace(base, release.release_id, delta))
        return self.state.apply(Entry(self.index, 1, 0, command))

    def test_replaces_the_current_release(self):
        self.assertIs(ACCEPTED, self.replace(0, make_release(3)).outcome)
        self.assertIs(ACCEPTED, self.replace(3, make_release(7)).outcome)
        self.assertEqual(make_release(7), self.state.current)

    def test_second_replacement_of_one_base_is_refused(self):
        self.replace(0, make_release(3))
        for number in (4, 5):
            self.replace(3, make_release(4))
            reply = self.replace(3, make_release(number, 'other'))
            self.assertIs(REFUSED, reply.outcome)
        self.assertEqual(make_release(4), self.state.current)

    def test_used_number_with_other_contents_is_refused(self):
        self.replace(0, make_release(3))
        reply = self.replace(0, make_release(3, 'other'))
        self.assertEqual(ReleaseNumberTooLowError.code, reply.code)

    def test_refusal_details_contain_the_current_release(self):
        self.replace(0, make_release(3))
        self.replace(3, make_release(5))
        reply = self.replace(3, make_release(6))
        self.assertEqual(BaseNotCurrentError.code, reply.code)
        self.assertEqual('5', reply.details['current'])

    def test_resend_is_confirmed_after_many_others(self):
        base = 0
        for number in range(2, 800, 2):
            self.replace(base, make_release(number))
            base = number
        for number in range(2, 800, 2):
            reply = self.replace(number - 2, make_release(number), False)
            self.assertIs(ACCEPTED, reply.outcome)
        self.assertEqual(798, self.state.current.number)

    def test_resend_is_confirmed_after_a_snapshot(self):
        self.replace(0, make_release(3))
        self.replace(3, make_release(4))
        self.state = State.decode(self.state.encode())
        reply = self.replace(0, make_release(3), False)
        self.assertIs(ACCEPTED, reply.outcome)

    def test_resend_with_another_base_is_refused(self):
        self.replace(0, make_release(3))
        self.replace(3, make_release(4))
        reply = self.replace(0, make_release(4), False)
        self.assertIs(REFUSED, reply.outcome)

    def test_forgotten_replacement_is_neither_confirmed_nor_refused(self):
        patch = mock.patch('snipelead.voters.state.MAX_REPLACEMENTS', 2)
        patch.start()
        self.addCleanup(patch.stop)
        base = 0
        for number in (1, 2, 3):
            self.replace(base, make_release(number))
            base = number
        reply = self.replace(0, make_release(1), False)
        self.assertIsInstance(reply, OutcomeForgottenError)
        self.assertIs(
            ACCEPTED, self.replace(1, make_release(2), False).outcome
        )


class ReplaceTest(ClusterCase):
    def test_any_control_accepts_and_confirms_replacements(self):
        async def test(cluster):
            await cluster.wait_leader()
            base = 0
            for number, name in enumerate('abcab', 1):
                voter = cluster.voters[name]
                reply = await voter.replace(base, make_release(number))
                self.assertIs(ACCEPTED, reply.outcome)
                base = number
            for name in 'abc':
                reply = await cluster.voters[name].replace(0, make_release(1))
                self.assertIs(ACCEPTED, reply.outcome)

        self.run_cluster(test)

    def test_resend_is_confirmed_after_the_leader_was_killed(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].replace(0, make_release(1))
            await cluster.voters[leader].replace(1, make_release(2))
            await cluster.kill(leader)
            other = await cluster.wait_leader(other_than=leader)
            reply = await cluster.voters[other].replace(0, make_release(1))
            self.assertIs(ACCEPTED, reply.outcome)
            self.assertEqual(2, cluster.voters[other].current.number)

        self.run_cluster(test)

    def test_only_one_of_two_concurrent_replacements_is_accepted(self):
        async def test(cluster):
            await cluster.wait_leader()
            outcomes = []

            async def send(name, release):
                reply = await cluster.voters[name].replace(0, release)
                outcomes.append(reply.outcome)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, 'a', make_release(4, 'one'))
                nursery.start_soon(send, 'b', make_release(4, 'other'))
            self.assertCountEqual([ACCEPTED, REFUSED], outcomes)

        self.run_cluster(test)

    def test_replacement_waits_for_its_base(self):
        async def test(cluster):
            await cluster.wait_leader()
            outcomes = []

            async def send(base, number):
                reply = await cluster.voters['a'].replace(
                    base, make_release(number)
                )
                outcomes.append(reply.outcome)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, 1, 2)
                await trio.sleep(0.1)
                nursery.start_soon(send, 0, 1)
            self.assertEqual([ACCEPTED, ACCEPTED], outcomes)
            self.assertEqual(2, cluster.voters['a'].current.number)

        self.run_cluster(test)

    def test_missing_base_raises_an_error_instead_of_a_refusal(self):
        async def test(cluster):
            await cluster.wait_leader()
            with ExpectedException(BaseUnknownError):
                await cluster.voters['a'].replace(7, make_release(9))

        self.run_cluster(test)

    def test_dangling_route_is_refused_before_it_is_proposed(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            release = Release(1, {}, {'r': Route('r', 'missing', '/r/')})
            last_index = cluster.voters[leader].replica.journal.log.last_index
            with ExpectedException(DanglingReferenceError):
                await cluster.voters[leader].replace(0, release)
            log = cluster.voters[leader].replica.journal.log
            self.assertEqual(last_index, log.last_index)

        self.run_cluster(test)

    def test_leader_in_a_minority_accepts_no_replacement(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            cluster.isolate(leader)
            with ExpectedException(NoQuorumError):
                await trio.sleep(5)
                await cluster.voters[leader].replace(0, make_release(1))

        self.run_cluster(test)
