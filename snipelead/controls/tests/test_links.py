import random

from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.controls.links import ControlLinks
from snipelead.messages import ControlEndpoint
from snipelead.settings.schema import Peer
from snipelead.testing.network import MemoryNetwork


def make_peer(name, zone='z'):
    return Peer(control_id=name, zone=zone, address=f'10.0.0.{ord(name)}:1')


class ControlLinksTest(TestCase):
    def run_links(self, test, peers, zone='z'):
        """Run a test on links with 20 different seeds of the jitter."""

        async def main():
            transport = MemoryNetwork().transport('node')
            for seed in range(20):
                links = ControlLinks(
                    peers, zone, 'n', transport, random.Random(seed)
                )
                await test(links)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_failed_controls_are_tried_in_turn(self):
        """An unresponsive control must not be retried before the others."""

        async def test(links):
            for link in links.links:
                links.record_failure(link)
                await trio.sleep(0.1)
            await trio.sleep(10)
            first = links.choose()
            links.record_failure(first)
            await trio.sleep(1)
            second = links.choose()
            links.record_failure(second)
            await trio.sleep(1)
            third = links.choose()
            self.assertEqual(3, len({first, second, third}))

        self.run_links(test, [make_peer(n) for n in 'abc'])

    def test_control_of_own_zone_is_preferred(self):
        async def test(links):
            self.assertEqual('b', links.choose().control_id)
            links.record_failure(links.choose())
            self.assertNotEqual('b', links.choose().control_id)
            await trio.sleep(60)
            self.assertEqual('b', links.choose().control_id)

        peers = [make_peer('a'), make_peer('b', 'own'), make_peer('c')]
        self.run_links(test, peers, 'own')

    def test_replacing_controls_keeps_links_still_listed(self):
        async def test(links):
            kept = next(link for link in links.links if link.control_id == 'b')
            endpoints = [
                ControlEndpoint(
                    name, 'own' if name == 'd' else 'z', peer.address
                )
                for name in 'bcd'
                for peer in [make_peer(name)]
            ]
            added = await links.replace_controls(endpoints)
            self.assertEqual(['d'], [link.control_id for link in added])
            self.assertEqual(
                {'b', 'c', 'd'}, {link.control_id for link in links.links}
            )
            self.assertIn(kept, links.links)
            self.assertEqual('d', links.choose().control_id)

        self.run_links(test, [make_peer(n) for n in 'abc'], 'own')

    def test_adding_peers_ignores_known_ones(self):
        async def test(links):
            links.add([make_peer('c'), make_peer('e')])
            names = sorted(link.control_id for link in links.links)
            self.assertEqual(['a', 'b', 'c', 'e'], names)

        self.run_links(test, [make_peer(n) for n in 'abc'])
