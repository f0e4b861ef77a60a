from types import SimpleNamespace

from testtools import TestCase
import trio

from snipelead.admission.early_refusal import EarlyRefusal
from snipelead.admission.retry_after import choose_prompt_retry_s
from snipelead.admission.standing import NO_STANDING
from snipelead.admission.standings import StandingTracker
from snipelead.callers.call import Call
from snipelead.nodes.admission import TargetAdmission
from snipelead.nodes.latency_queue import SERVICE_TIME_MARGIN
from snipelead.nodes.latency_queue import UNORDERED_MARGIN
from snipelead.settings.schema import NodeLimits
from snipelead.types import RequestClass
from snipelead.types import RouteName

OFF = NodeLimits(sheds_load=False)


class DisabledTest(TestCase):
    """Guards deployments that do not ask for it against other decisions."""

    def run_with_call(self, test):
        async def main():
            call = Call(RequestClass.INTERACTIVE, 'balts', False, 1_000)
            call.route = RouteName('reads')
            call.set_latency_deadline(500)
            test(call)

        trio.run(main)

    def test_no_request_is_refused_early_or_judged(self):
        def test(call):
            limiters = SimpleNamespace(running=1, limits=OFF)
            tracker = StandingTracker(limiters)
            for _ in range(100):
                tracker.assess(call)
            self.assertIs(NO_STANDING, call.standing)
            # Neither asks the balancer.
            refusal = EarlyRefusal(None, is_enabled=False)
            refusal.check(call, None)
            refusal.record_error(call, None, None)

        self.run_with_call(test)

    def test_targets_get_their_stated_slots(self):
        entry = SimpleNamespace(slots=9, connections=4, target_incarnation=1)
        targets = SimpleNamespace(targets={'t': SimpleNamespace(entry=entry)})
        slots, margins = zip(
            *(
                (admission.slots, admission.margin)
                for admission in (
                    TargetAdmission('t', targets, limits)
                    for limits in (OFF, NodeLimits())
                )
            ),
            strict=True,
        )
        self.assertEqual((9, 3), slots)
        self.assertEqual((UNORDERED_MARGIN, SERVICE_TIME_MARGIN), margins)

    def test_callers_come_back_once_the_queue_is_served(self):
        self.assertAlmostEqual(0.2, choose_prompt_retry_s(0.2, 0.5, 0.0))
        self.assertAlmostEqual(0.12, choose_prompt_retry_s(0.2, 0.5, 1.0))
        self.assertLessEqual(choose_prompt_retry_s(2.0, 0.5, 0.0), 0.5)
        self.assertGreaterEqual(choose_prompt_retry_s(0.0, -1.0, 0.0), 0.1)
