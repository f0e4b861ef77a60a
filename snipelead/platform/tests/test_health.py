from testtools import TestCase
import trio

from snipelead.emulator.platform_target import PlatformTarget
from snipelead.platform.health import is_serving
from snipelead.utils.ports import find_free_addresses


class HealthTest(TestCase):
    def test_only_the_expected_serving_target_is_healthy(self):
        async def main():
            target = PlatformTarget('i-1')
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                endpoint = (target.address, '/health')
                serving = await is_serving(*endpoint, 'i-1')
                other = await is_serving(*endpoint, 'i-2')
                target.is_leaving = True
                leaving = await is_serving(*endpoint, 'i-1')
                nursery.cancel_scope.cancel()
            return serving, other, leaving

        self.assertEqual((True, False, False), trio.run(main))

    def test_unreachable_target_is_not_healthy(self):
        (address,) = find_free_addresses(1)
        self.assertFalse(trio.run(is_serving, address, '/health', 'i-1'))
