from testtools import TestCase
import trio

from snipelead.emulator.platform_target import PlatformTarget
from snipelead.platform.health import check_health
from snipelead.utils.ports import find_free_addresses


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

    def test_unreachable_target_is_not_healthy(self):
        (address,) = find_free_addresses(1)
        report = trio.run(check_health, address, '/health', 'i-1')
        self.assertFalse(report.serving)
