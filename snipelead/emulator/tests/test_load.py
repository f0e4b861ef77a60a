from testtools import TestCase
import trio

from snipelead.emulator.load import CallSpec
from snipelead.emulator.load import ClosedLoop
from snipelead.emulator.load import OpenLoop
from snipelead.emulator.recorder import CallOutcome
from snipelead.emulator.recorder import CallRecord
from snipelead.emulator.recorder import Recorder
from snipelead.emulator.run_log import Run
from snipelead.emulator.target import EmulatedTarget
from snipelead.emulator.tests.test_target import make_settings
from snipelead.types import Ran

READ = CallSpec(path='/levels', tenant='a', request_class='interactive')
ORDER = CallSpec(
    path='/orders',
    method='POST',
    tenant='b',
    request_class='once',
    repeatable=False,
    has_idempotency_key=True,
    body_bytes=100,
)


def run_load(make_load, **changes):
    target = EmulatedTarget(make_settings(**changes), announce=False)

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(target.run)
            recorder = await make_load([address]).run()
            nursery.cancel_scope.cancel()
        return recorder

    return trio.run(main), target


class LoadTest(TestCase):
    def test_open_loop_records_every_call(self):
        recorder, target = run_load(
            lambda addresses: OpenLoop(
                addresses, [READ, ORDER], 500, 0.2, seed=3
            ),
            slots=200,
            connections=200,
        )
        outcomes = {c.outcome for c in recorder.calls}
        self.assertEqual({CallOutcome.DONE}, outcomes)
        self.assertEqual(len(target.run_log.runs), len(recorder.calls))
        self.assertTrue(recorder.audit(target.run_log.runs).has_no_violations)
        self.assertEqual(
            [('interactive', 'a'), ('once', 'b')], recorder.groups()
        )

    def test_same_seed_draws_same_calls(self):
        def draw():
            load = OpenLoop(['x'], [READ, ORDER], 1, 1, seed=5)
            load._prepare()
            return [load._choose_call() for _ in range(20)]

        self.assertEqual(draw(), draw())

    def test_closed_loop_sends_a_fixed_number_of_calls(self):
        recorder, target = run_load(
            lambda addresses: ClosedLoop(addresses, [ORDER], 3, 4),
            slots=3,
        )
        self.assertEqual(12, len(recorder.calls))
        self.assertEqual(12, len({run.key for run in target.run_log.runs}))

    def test_refused_connection_counts_as_not_run(self):
        async def main():
            return await ClosedLoop(['127.0.0.1:1'], [READ], 1, 1).run()

        [call] = trio.run(main).calls
        self.assertEqual(
            (CallOutcome.CONNECTION_FAILED, Ran.NO), (call.outcome, call.ran)
        )


class AuditTest(TestCase):
    def audit(self, call, *runs):
        recorder = Recorder()
        recorder.add(call)
        return recorder.audit(runs)

    def test_duplicate_runs_of_one_idempotency_key_are_reported(self):
        call = CallRecord('r1', 'a', 'once', 'k', repeatable=False)
        audit = self.audit(
            call,
            Run(0, 't1', key='k', request_id='r1'),
            Run(0, 't2', key='k', request_id='r2'),
        )
        self.assertEqual(['r1'], audit.duplicated)

    def test_repeatable_call_may_run_twice(self):
        call = CallRecord('r1', 'a', 'interactive', outcome=CallOutcome.DONE)
        audit = self.audit(
            call, Run(0, 't1', request_id='r1'), Run(1, 't1', request_id='r1')
        )
        self.assertTrue(audit.has_no_violations)
        self.assertEqual(1, audit.repeated)

    def test_done_call_that_no_target_ran_is_lost(self):
        call = CallRecord('r1', 'a', 'once', outcome=CallOutcome.DONE)
        self.assertEqual(['r1'], self.audit(call).lost)

    def test_run_of_a_call_answered_as_not_run_is_misreported(self):
        call = CallRecord(
            'r1', 'a', 'once', outcome=CallOutcome.REFUSED, ran=Ran.NO
        )
        audit = self.audit(call, Run(0, 't1', request_id='r1'))
        self.assertEqual(['r1'], audit.misreported)
