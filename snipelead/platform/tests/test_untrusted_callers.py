"""Guards against requests that exhaust memory at the platform's interfaces."""

import sys

from fixtures import TempDir
import msgspec
import pytest
from testtools import TestCase

from snipelead.platform.settings import PlatformControlSettings
from snipelead.platform.settings import PlatformNodeSettings
from snipelead.testing.processes import Process
from snipelead.testing.untrusted_callers import check_answered
from snipelead.testing.untrusted_callers import check_withstands
from snipelead.testing.untrusted_callers import limit_descriptors
from snipelead.testing.untrusted_callers import Script
from snipelead.utils.ports import find_free_addresses

pytestmark = pytest.mark.processes

BODY_BYTES = 30 * 1024 * 1024
HEAD = b'PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
# All but the last bytes of the body are sent.
LARGE_BODIES = Script(HEAD % (BODY_BYTES + 100), b'x', BODY_BYTES, 8)
IDLE = Script(b'GET', b'T', 3, 300)
ENDLESS_HEADS = Script(HEAD[:30], b'a:\r\n', 48 * 1024, 300)
ANY_ANSWER = (200, 400, 404, 503)


class PlatformProcess(Process):
    """Process of the system with the settings of the platform."""

    def command(self, path):
        return (
            *(sys.executable, '-m', 'snipelead.platform'),
            *('--settings', str(path)),
        )


class PlatformInterfacesTest(TestCase):
    """A body was buffered whole for each connection, without a bound."""

    def run_process(self, settings, name):
        process = PlatformProcess(
            settings, name, self.useFixture(TempDir()).path
        )
        limit_descriptors(process)
        self.addCleanup(process.__exit__)
        return process.start()

    def check(self, process, address, script, path):
        def check():
            check_answered(address, path, ANY_ANSWER)

        check()
        check_withstands(self, process, address, script, check)

    def check_node(self, script, address_name):
        addresses = find_free_addresses(4)
        settings = PlatformNodeSettings(
            node_id='n1',
            zone='a',
            region='lv',
            service='stock',
            caller_address=addresses[0],
            peer_address=addresses[1],
            ready_address=addresses[2],
            report_address=addresses[3],
            seeds=(find_free_addresses(1)[0],),
            internal_ports=(7380, 7395),
            heartbeat='1500ms',
            grace='6s',
            retry_ratio=0.2,
            retry_extra=64.0,
        )
        process = self.run_process(settings, 'node')
        address = msgspec.structs.asdict(settings)[address_name]
        self.check(process, address, script, '/instances/x')

    def check_control(self, script):
        own, order = find_free_addresses(2)
        ip, _, port = own.rpartition(':')
        settings = PlatformControlSettings(
            ip=ip,
            zone='a',
            region='lv',
            order_address=order,
            internal_ports=(int(port), int(port)),
            data_dir=self.useFixture(TempDir()).path,
            seeds=(f'{ip}:{order.rpartition(":")[2]}',),
            may_found=True,
        )
        process = self.run_process(settings, 'control')
        self.check(process, order, script, '/config')

    def test_large_bodies_at_the_report_address(self):
        self.check_node(LARGE_BODIES, 'report_address')

    def test_large_bodies_at_the_ready_address(self):
        self.check_node(LARGE_BODIES, 'ready_address')

    def test_idle_connections_at_the_report_address(self):
        self.check_node(IDLE, 'report_address')

    def test_heads_without_end_at_the_ready_address(self):
        self.check_node(ENDLESS_HEADS, 'ready_address')

    def test_large_bodies_at_the_order_address(self):
        self.check_control(LARGE_BODIES)

    def test_heads_without_end_at_the_order_address(self):
        self.check_control(ENDLESS_HEADS)
