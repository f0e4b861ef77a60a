from http import HTTPStatus

from msgspec.structs import replace
import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import RELEASE

LATENCY_MS = 500


class OverloadTest(CallPathTestCase):
    def test_full_service_is_refused_where_the_request_enters(self):
        """Guards against three hops for each refusal."""
        nodes = [FakeNode(f'n{number}', slots=1) for number in range(3)]
        reads = replace(RELEASE.routes['reads'], target_latency_ms=LATENCY_MS)
        for node in nodes:
            node.holder.replace(
                replace(RELEASE, number=2, routes={'reads': reads})
            )
            node.target.hold = trio.Event()

        async def call(replies):
            caller = await Caller.open(nodes[0].path.caller_address)
            replies.append(await caller.call('/reads/1', X_Deadline_Ms=900))

        async def test(nursery):
            replies = []
            for _ in range(3):
                async with trio.open_nursery() as callers:
                    for _ in range(20):
                        callers.start_soon(call, replies)
            # All of them end without an answer of a target.
            errors = [
                parse_error_response(reply)
                for reply in replies
                if reply[0].status == HTTPStatus.SERVICE_UNAVAILABLE
            ]
            self.assertIn('SL3050', [code for code, _, _ in errors])
            for _, ran, body in errors:
                self.assertEqual('no', ran)
                # The load that other nodes report is not for callers.
                self.assertNotIn('load', body['details'])
            observations = nodes[0].path.balancer.observations.values()
            self.assertTrue(any(o.reported_load for o in observations))

        self.run_nodes(test, *nodes)
