from testtools import TestCase
import trio

from snipelead.emulator.platform import PlatformTarget
from snipelead.platform.health import serves_now
from snipelead.utils.ports import find_free_addresses


class HealthTest(TestCase):
    def test_target_that_serves_leaves_or_is_another(self):
        async def main():
            target = PlatformTarget('i-1')
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                ask = (target.address, '/health')
                serving = await serves_now(*ask, 'i-1')
                other = await serves_now(*ask, 'i-2')
                target.is_leaving = True
                leaving = await serves_now(*ask, 'i-1')
                nursery.cancel_scope.cancel()
            return serving, other, leaving

        self.assertEqual((True, False, False), trio.run(main))

    def test_nobody_answers(self):
        (address,) = find_free_addresses(1)
        self.assertFalse(trio.run(serves_now, address, '/health', 'i-1'))
