from functools import partial

import httpx
import msgspec
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.operators.app import make_app
from snipelead.operators.client import OperatorClient
from snipelead.operators.client import STAGGER_S
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.releases.note import load_note
from snipelead.testing.fleet import FailingSource
from snipelead.testing.fleet import FakeService
from snipelead.types import OutcomeKind
from snipelead.utils.http import make_quart

NOTE = 'release: 1\nnote: n1\nchanges: []\n'
ADDRESSES = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1']


class FakeControls(httpx.AsyncBaseTransport):
    """Routes requests to applications by host; some hosts fail."""

    def __init__(self, sources):
        self.apps = {}
        for host, source in sources.items():
            app = make_app(FakeService(), source)
            self.apps[host] = httpx.ASGITransport(app)
        self.unreachable = set()
        self.loses_answers = set()
        self.silent = set()
        self.hosts = []

    async def handle_async_request(self, request):
        host = request.url.host
        self.hosts.append(host)
        if host in self.unreachable:
            raise httpx.ConnectError('refused')
        if host in self.silent:
            await trio.sleep_forever()
        response = await self.apps[host].handle_async_request(request)
        if host in self.loses_answers:
            raise httpx.ReadTimeout('no answer')
        return response


class OperatorClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.source = FailingSource()
        hosts = [a.split(':')[0] for a in ADDRESSES]
        self.hosts = hosts
        self.network = FakeControls(dict.fromkeys(hosts, self.source))

    def run_client(self, method, *args):
        async def run():
            client = OperatorClient(ADDRESSES, transport=self.network)
            async with client:
                return await getattr(client, method)(*args)

        return trio.run(run, clock=MockClock(autojump_threshold=0))

    def submit(self):
        return self.run_client('submit', NOTE, 'n1')

    def test_unreachable_control_is_passed_over(self):
        self.network.unreachable = set(self.hosts[:2])
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts, self.network.hosts)

    def test_lost_answer_is_settled_by_resending_the_same_note(self):
        self.network.loses_answers = {self.hosts[0]}
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts[:2], self.network.hosts)
        self.assertEqual(1, self.source.current.number)

    def test_unknown_answer_is_settled_by_resending(self):
        self.source.failures = [OutcomeUnknownError('lost')]
        self.source.apply_failed = True
        answer = self.submit()
        self.assertEqual(OutcomeKind.ACCEPTED, answer.outcome)
        self.assertEqual(self.source.current.held, answer.held)

    def test_all_answers_lost_is_unknown(self):
        self.network.loses_answers = set(self.hosts)
        answer = self.submit()
        self.assertEqual(OutcomeKind.UNKNOWN, answer.outcome)
        self.assertEqual('SL2002', answer.code)
        self.assertIn(ADDRESSES[0], answer.message)

    def test_reason_of_an_unknown_outcome_is_kept(self):
        self.source.failures = [ReleaseNotFoundError('forgotten')] * 6
        answer = self.submit()
        self.assertEqual(OutcomeKind.UNKNOWN, answer.outcome)
        self.assertEqual('SL4001', answer.code)

    def test_refusal_after_a_lost_answer_stays_unknown(self):
        self.network.loses_answers = {self.hosts[0]}
        failures = [NoQuorumError('alone') for _ in range(6)]
        self.source.failures = failures
        self.assertEqual(OutcomeKind.UNKNOWN, self.submit().outcome)

    def test_address_that_takes_no_notes_settles_nothing(self):
        other = httpx.ASGITransport(make_quart(__name__, 1_000))
        for host in self.hosts[1:]:
            self.network.apps[host] = other
        self.network.loses_answers = {self.hosts[0]}
        self.assertEqual(OutcomeKind.UNKNOWN, self.submit().outcome)
        self.network.unreachable = {self.hosts[0]}
        answer = self.submit()
        self.assertEqual(OutcomeKind.REFUSED, answer.outcome)
        self.assertEqual('SL4006', answer.code)

    def test_no_quorum_everywhere_is_refused(self):
        self.source.failures = [NoQuorumError('alone') for _ in range(6)]
        answer = self.submit()
        self.assertEqual(OutcomeKind.REFUSED, answer.outcome)
        self.assertEqual('SL2001', answer.code)

    def test_nothing_sent_is_an_error(self):
        self.network.unreachable = set(self.hosts)
        self.assertRaises(NoControlError, self.submit)

    def test_failed_server_is_unknown_and_resent(self):
        broken = FailingSource()
        broken.submit = partial(self._fail, broken)
        app = make_app(FakeService(), broken)
        self.network.apps[self.hosts[0]] = httpx.ASGITransport(app)
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts[:2], self.network.hosts)

    async def _fail(self, source, note):
        raise ZeroDivisionError

    def test_read_prefers_a_control_that_proves_itself_current(self):
        stale = FailingSource()
        stale.certifies = False
        app = make_app(FakeService(), stale)
        self.network.apps[self.hosts[0]] = httpx.ASGITransport(app)
        self.source.apply(load_note(NOTE))
        listed = self.run_client('list_releases')
        self.assertTrue(listed.certified)
        self.assertEqual(1, listed.current.number)

    def test_read_falls_back_to_an_unproved_answer(self):
        self.source.certifies = False
        self.assertFalse(self.run_client('list_releases').certified)

    def test_silent_control_does_not_hold_up_a_read(self):
        self.network.silent = {self.hosts[0]}
        self.source.certify_s = 0.0

        async def read():
            client = OperatorClient(ADDRESSES, transport=self.network)
            async with client:
                started_s = trio.current_time()
                answer = await client.list_releases()
                return answer, trio.current_time() - started_s

        answer, took_s = trio.run(read, clock=MockClock(autojump_threshold=0))
        self.assertTrue(answer.certified)
        self.assertEqual(STAGGER_S, took_s)

    def test_unknown_release_is_an_error(self):
        self.assertRaises(
            ReleaseNotFoundError, self.run_client, 'show_release', 9
        )

    def test_answers_survive_their_encoding(self):
        fleet = self.run_client('show_fleet')
        again = msgspec.json.decode(
            msgspec.json.encode(fleet), type=type(fleet)
        )
        self.assertEqual(fleet, again)
