import threading

from fixtures import MonkeyPatch
import msgspec
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.fleet import FleetState
from snipelead.operators.app import make_operator_app
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import ReleaseList
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.operators.messages import SubmissionResult
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note import load_note
from snipelead.testing.fakes import FailingSource
from snipelead.testing.fakes import FakeService
from snipelead.testing.fakes import make_node_status
from snipelead.types import OutcomeKind
from snipelead.voters.exceptions import VoterBusyError

NOTE = """
release: {number}
note: {note}
changes:
  - {{action: add, service: {{name: {service}}}}}
"""


def make_note(number=1, note_id='n1', service='stock'):
    return NOTE.format(number=number, note=note_id, service=service)


class OperatorAppTest(TestCase):
    def setUp(self):
        super().setUp()
        self.source = FailingSource()
        self.service = FakeService()

    def request(self, method, path, body=None):
        async def send_request():
            app = make_operator_app(self.service, self.source)
            client = app.test_client()
            response = await client.open(path, method=method, data=body)
            return response, await response.get_data(as_text=False)

        return trio.run(send_request)

    def submit(self, text):
        response, body = self.request('POST', '/v1/releases', text)
        return response, msgspec.json.decode(body, type=SubmissionResult)

    def show(self, number):
        response, body = self.request('GET', f'/v1/releases/{number}')
        self.assertEqual(200, response.status_code, body)
        return msgspec.json.decode(body, type=ReleaseStatus)

    def test_accepted_note(self):
        response, result = self.submit(make_note())
        self.assertEqual(200, response.status_code)
        self.assertEqual(OutcomeKind.ACCEPTED, result.outcome)
        self.assertEqual(self.source.current.release_id, result.held)

    def test_refused_note(self):
        self.submit(make_note())
        response, result = self.submit(make_note(1, 'other'))
        self.assertEqual(409, response.status_code)
        self.assertEqual(OutcomeKind.REFUSED, result.outcome)
        self.assertEqual('SL7004', result.code)

    def test_note_that_is_not_yaml_is_refused(self):
        response, result = self.submit('release: [')
        self.assertEqual(409, response.status_code)
        self.assertEqual('SL7001', result.code)

    def test_notes_are_parsed_in_a_worker_thread(self):
        threads = []

        def record_thread(text):
            threads.append(threading.current_thread())
            return load_note(text)

        self.useFixture(
            MonkeyPatch('snipelead.operators.app.load_note', record_thread)
        )
        self.submit(make_note())
        self.assertNotIn(threading.main_thread(), threads)
        self.assertEqual(1, len(threads))

    def test_no_quorum_is_a_refusal_that_may_be_retried(self):
        self.source.failures = [NoQuorumError('alone', retry_after_ms=1_500)]
        response, result = self.submit(make_note())
        self.assertEqual(503, response.status_code)
        self.assertEqual(OutcomeKind.REFUSED, result.outcome)
        self.assertEqual(1_500, result.retry_after_ms)
        self.assertEqual('2', response.headers['Retry-After'])
        self.assertEqual(EMPTY_RELEASE, self.source.current)

    def test_note_that_was_certainly_not_appended_is_refused(self):
        for error in (NoControlError('nobody'), VoterBusyError('full')):
            self.source.failures = [error]
            response, result = self.submit(make_note())
            self.assertEqual(503, response.status_code)
            self.assertEqual(OutcomeKind.REFUSED, result.outcome)
            self.assertEqual(error.code, result.code)

    def test_outcome_is_unknown_after_a_lost_reply(self):
        self.source.failures = [OutcomeUnknownError('lost')]
        response, result = self.submit(make_note())
        self.assertEqual(503, response.status_code)
        self.assertEqual(OutcomeKind.UNKNOWN, result.outcome)

    def test_release_is_in_force_once_all_live_nodes_confirmed(self):
        self.submit(make_note())
        release = self.source.current.release_id
        old_release = EMPTY_RELEASE.release_id
        nodes = [
            make_node_status('a', release),
            make_node_status('b', old_release),
        ]
        self.service = FakeService(release, nodes)
        status = self.show(1)
        self.assertEqual(ReleaseState.ACCEPTED, status.state)
        self.assertEqual((1, 2), (status.confirmed, status.nodes))
        self.assertEqual(['b'], [n.node_id for n in status.lagging])
        nodes = [
            make_node_status('a', release),
            make_node_status('b', release, 2),
        ]
        self.service = FakeService(release, nodes)
        self.assertTrue(self.show(1).in_force)

    def test_silent_nodes_are_listed_but_not_counted(self):
        self.submit(make_note())
        release = self.source.current.release_id
        old_release = EMPTY_RELEASE.release_id
        silent = make_node_status('b', old_release, live=False)
        nodes = [make_node_status('a', release), silent]
        self.service = FakeService(release, nodes)
        status = self.show(1)
        self.assertTrue(status.in_force)
        self.assertEqual(('b',), status.silent_nodes)

    def test_release_is_not_in_force_if_a_control_is_unreachable(self):
        self.submit(make_note())
        release = self.source.current.release_id
        nodes = [make_node_status('a', release)]
        self.service = FakeService(release, nodes, ('c2',))
        status = self.show(1)
        self.assertFalse(status.in_force)
        self.assertEqual(ReleaseState.IN_FORCE_WHERE_KNOWN, status.state)
        self.assertEqual(('c2',), status.unreachable_controls)

    def test_release_is_not_in_force_if_a_control_started_recently(self):
        self.submit(make_note())
        release = self.source.current.release_id
        nodes = [make_node_status('a', release)]
        self.service = FakeService(release, nodes, warming=True)
        status = self.show(1)
        self.assertFalse(status.in_force)
        self.assertEqual(('c1',), status.warming_controls)

    def test_release_is_not_in_force_without_live_nodes(self):
        self.submit(make_note())
        release = self.source.current.release_id
        self.service = FakeService(release, [])
        self.assertEqual(ReleaseState.ACCEPTED, self.show(1).state)

    def test_newest_status_of_a_node_is_used(self):
        self.submit(make_note())
        release = self.source.current.release_id
        old_release = EMPTY_RELEASE.release_id
        nodes = [
            make_node_status('a', release, sequence=9),
            make_node_status('a', old_release, sequence=8),
        ]
        self.service = FakeService(release, nodes)
        status = self.show(1)
        self.assertEqual((1, 1), (status.confirmed, status.nodes))

    def test_superseded_release(self):
        self.submit(make_note())
        self.submit(make_note(2, 'n2', 'contracts'))
        release = self.source.current.release_id
        nodes = [make_node_status('a', release)]
        self.service = FakeService(release, nodes)
        status = self.show(1)
        self.assertEqual(ReleaseState.SUPERSEDED, status.state)
        self.assertEqual('n1', status.note)

    def test_unknown_release_is_not_found(self):
        response, body = self.request('GET', '/v1/releases/7')
        self.assertEqual(404, response.status_code)
        self.assertIn(b'SL4001', body)

    def test_uncertified_control_does_not_report_a_release_as_missing(self):
        self.source.certification_succeeds = False
        response, body = self.request('GET', '/v1/releases/7')
        self.assertEqual(503, response.status_code)
        self.assertIn(b'SL4002', body)

    def list_notes(self, query=''):
        _, body = self.request('GET', f'/v1/releases{query}')
        return msgspec.json.decode(body, type=ReleaseList)

    def test_list_starts_with_the_newest_submission(self):
        self.submit(make_note())
        self.submit(make_note(1, 'late'))
        self.submit(make_note(2, 'n2', 'contracts'))
        releases = self.list_notes()
        self.assertEqual(
            ['n2', 'late', 'n1'], [n.note for n in releases.notes]
        )
        releases = self.list_notes('?limit=2')
        self.assertEqual(['n2', 'late'], [n.note for n in releases.notes])
        self.assertEqual(3, releases.remembered)

    def test_invalid_limit_is_a_coded_error(self):
        response, body = self.request('GET', '/v1/releases?limit=all')
        self.assertEqual(400, response.status_code)
        self.assertIn(b'SL4006', body)

    def test_fleet_report_lists_unreachable_controls(self):
        release = EMPTY_RELEASE.release_id
        nodes = [make_node_status('a', release)]
        self.service = FakeService(release, nodes, ('c2', 'c3'))
        _, body = self.request('GET', '/v1/fleet')
        report = msgspec.json.decode(body, type=FleetReport)
        self.assertEqual(('c2', 'c3'), report.unreachable_controls)
        self.assertIs(FleetState.UNKNOWN, report.state)
        self.assertEqual(['c1'], [c.control_id for c in report.controls])
        self.assertEqual(['a'], [n.node_id for n in report.nodes])

    def test_unknown_path_is_a_coded_error(self):
        response, body = self.request('GET', '/v2/nothing')
        self.assertEqual(404, response.status_code)
        self.assertIn(b'SL4006', body)
