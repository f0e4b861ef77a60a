from testtools import TestCase
import trio

from snipelead.emulator.platform_target import PlatformTarget
from snipelead.platform.health import check_health
from snipelead.testing.relay import serve_streams
from snipelead.utils.ports import find_free_addresses

SWITCHING_RESPONSE = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    b'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n'
)
HEALTHY_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n'
)


class HealthTest(TestCase):
    def test_only_the_expected_serving_target_is_healthy(self):
        async def main():
            target = PlatformTarget('i-1')
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                endpoint = (target.address, '/health')
                serving = await check_health(*endpoint, 'i-1')
                other = await check_health(*endpoint, 'i-2')
                target.is_leaving = True
                leaving = await check_health(*endpoint, 'i-1')
                nursery.cancel_scope.cancel()
            return serving.serving, other.serving, leaving.serving

        self.assertEqual((True, False, False), trio.run(main))

    def test_health_check_reports_the_status_of_the_expected_target(self):
        async def main():
            target = PlatformTarget('i-1')
            target.rate_limits = (b'2.5',)
            target.states_leaving = True
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                endpoint = (target.address, '/health')
                own = await check_health(*endpoint, 'i-1')
                other = await check_health(*endpoint, 'i-2')
                nursery.cancel_scope.cancel()
            return own.status, other.status

        own, other = trio.run(main)
        self.assertEqual((2.5, True), (own.rate_limit, own.is_leaving))
        self.assertEqual((None, False), (other.rate_limit, other.is_leaving))

    def check_bytes(self, data):
        """Check a target that answers a health check with certain bytes."""

        async def serve(stream):
            async with stream:
                await stream.receive_some()
                await stream.send_all(data)

        async def main():
            async with trio.open_nursery() as nursery:
                address = await nursery.start(serve_streams, serve)
                report = await check_health(address, '/health', 'i-1')
                nursery.cancel_scope.cancel()
            return report.serving

        return trio.run(main)

    def test_response_that_switches_protocols_is_not_healthy(self):
        """The error ended the node, whose task it was raised in."""
        self.assertFalse(self.check_bytes(SWITCHING_RESPONSE))
        self.assertFalse(
            self.check_bytes(SWITCHING_RESPONSE + HEALTHY_RESPONSE)
        )

    def test_interim_responses_before_a_healthy_one_are_skipped(self):
        for status in (100, 102, 103, 199):
            interim = b'HTTP/1.1 %d X\r\n\r\n' % status
            self.assertTrue(self.check_bytes(interim + HEALTHY_RESPONSE))

    def test_interim_responses_without_end_are_not_healthy(self):
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 17
        self.assertFalse(self.check_bytes(interim + HEALTHY_RESPONSE))

    def test_unreachable_target_is_not_healthy(self):
        (address,) = find_free_addresses(1)
        report = trio.run(check_health, address, '/health', 'i-1')
        self.assertFalse(report.serving)
