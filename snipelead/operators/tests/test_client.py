from functools import partial

import httpx
import msgspec
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.operators.app import make_operator_app
from snipelead.operators.client import HEDGE_DELAY_S
from snipelead.operators.client import OperatorClient
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.releases.note import load_note
from snipelead.testing.fakes import FailingSource
from snipelead.testing.fakes import FakeService
from snipelead.types import OutcomeKind
from snipelead.utils.http import make_http_app

NOTE = 'release: 1\nnote: n1\nchanges: []\n'
ADDRESSES = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1']


class FakeControls(httpx.AsyncBaseTransport):
    """Transport that routes requests to applications by host.

    Attributes
    ----------
    unreachable : set of str
        Hosts that refuse connections.
    loses_responses : set of str
        Hosts that process requests, but whose responses are lost.
    silent : set of str
        Hosts that accept requests and never respond.
    hosts : list of str
        Hosts of the requests, in order.
    """

    def __init__(self, sources):
        self.apps = {}
        for host, source in sources.items():
            app = make_operator_app(FakeService(), source)
            self.apps[host] = httpx.ASGITransport(app)
        self.unreachable = set()
        self.loses_responses = set()
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
        if host in self.loses_responses:
            raise httpx.ReadTimeout('no response')
        return response


class OperatorClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.source = FailingSource()
        hosts = [a.split(':')[0] for a in ADDRESSES]
        self.hosts = hosts
        self.network = FakeControls(dict.fromkeys(hosts, self.source))

    def run_client(self, method, *args):
        async def call_method():
            client = OperatorClient(ADDRESSES, transport=self.network)
            async with client:
                return await getattr(client, method)(*args)

        return trio.run(call_method, clock=MockClock(autojump_threshold=0))

    def submit(self):
        return self.run_client('submit', NOTE, 'n1')

    def test_unreachable_control_is_skipped(self):
        self.network.unreachable = set(self.hosts[:2])
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts, self.network.hosts)

    def test_note_is_resent_after_a_lost_response(self):
        self.network.loses_responses = {self.hosts[0]}
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts[:2], self.network.hosts)
        self.assertEqual(1, self.source.current.number)

    def test_note_is_resent_after_an_unknown_outcome(self):
        self.source.failures = [OutcomeUnknownError('lost')]
        self.source.apply_before_failure = True
        result = self.submit()
        self.assertEqual(OutcomeKind.ACCEPTED, result.outcome)
        self.assertEqual(self.source.current.release_id, result.held)

    def test_outcome_is_unknown_if_all_responses_are_lost(self):
        self.network.loses_responses = set(self.hosts)
        result = self.submit()
        self.assertEqual(OutcomeKind.UNKNOWN, result.outcome)
        self.assertEqual('SL2002', result.code)
        self.assertIn(ADDRESSES[0], result.message)

    def test_error_code_of_an_unknown_outcome_is_kept(self):
        self.source.failures = [ReleaseNotFoundError('forgotten')] * 6
        result = self.submit()
        self.assertEqual(OutcomeKind.UNKNOWN, result.outcome)
        self.assertEqual('SL4001', result.code)

    def test_outcome_stays_unknown_if_a_refusal_follows_a_lost_response(self):
        self.network.loses_responses = {self.hosts[0]}
        failures = [NoQuorumError('alone') for _ in range(6)]
        self.source.failures = failures
        self.assertEqual(OutcomeKind.UNKNOWN, self.submit().outcome)

    def test_other_server_does_not_settle_an_unknown_outcome(self):
        other_server = httpx.ASGITransport(make_http_app(__name__, 1_000))
        for host in self.hosts[1:]:
            self.network.apps[host] = other_server
        self.network.loses_responses = {self.hosts[0]}
        self.assertEqual(OutcomeKind.UNKNOWN, self.submit().outcome)
        self.network.unreachable = {self.hosts[0]}
        result = self.submit()
        self.assertEqual(OutcomeKind.REFUSED, result.outcome)
        self.assertEqual('SL4006', result.code)

    def test_note_is_refused_if_no_control_has_a_quorum(self):
        self.source.failures = [NoQuorumError('alone') for _ in range(6)]
        result = self.submit()
        self.assertEqual(OutcomeKind.REFUSED, result.outcome)
        self.assertEqual('SL2001', result.code)

    def test_submission_fails_if_no_control_is_reachable(self):
        self.network.unreachable = set(self.hosts)
        self.assertRaises(NoControlError, self.submit)

    def test_note_is_resent_after_an_internal_server_error(self):
        failing_source = FailingSource()
        failing_source.submit = partial(self._fail, failing_source)
        app = make_operator_app(FakeService(), failing_source)
        self.network.apps[self.hosts[0]] = httpx.ASGITransport(app)
        self.assertEqual(OutcomeKind.ACCEPTED, self.submit().outcome)
        self.assertEqual(self.hosts[:2], self.network.hosts)

    async def _fail(self, source, note):
        raise ZeroDivisionError

    def test_read_prefers_a_certified_result(self):
        uncertified = FailingSource()
        uncertified.certification_succeeds = False
        app = make_operator_app(FakeService(), uncertified)
        self.network.apps[self.hosts[0]] = httpx.ASGITransport(app)
        self.source.apply(load_note(NOTE))
        releases = self.run_client('list_releases')
        self.assertTrue(releases.certified)
        self.assertEqual(1, releases.current.number)

    def test_read_falls_back_to_an_uncertified_result(self):
        self.source.certification_succeeds = False
        self.assertFalse(self.run_client('list_releases').certified)

    def test_silent_control_delays_a_read_by_the_hedge_delay_only(self):
        self.network.silent = {self.hosts[0]}
        self.source.certify_time_s = 0.0

        async def read():
            client = OperatorClient(ADDRESSES, transport=self.network)
            async with client:
                started_s = trio.current_time()
                releases = await client.list_releases()
                return releases, trio.current_time() - started_s

        releases, elapsed_s = trio.run(
            read, clock=MockClock(autojump_threshold=0)
        )
        self.assertTrue(releases.certified)
        self.assertEqual(HEDGE_DELAY_S, elapsed_s)

    def test_unknown_release_is_an_error(self):
        self.assertRaises(
            ReleaseNotFoundError, self.run_client, 'show_release', 9
        )

    def test_fleet_report_is_unchanged_by_a_json_round_trip(self):
        report = self.run_client('show_fleet')
        decoded = msgspec.json.decode(
            msgspec.json.encode(report), type=type(report)
        )
        self.assertEqual(report, decoded)
