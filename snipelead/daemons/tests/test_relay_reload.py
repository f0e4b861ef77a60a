from testtools import TestCase

from snipelead.daemons.control import ControlDaemon
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.testing.network import MemoryNetwork
from snipelead.types import ControlRole

ADDRESS = '127.0.0.1:7001'
VOTER = Peer(control_id='c0', zone='a', address='127.0.0.1:7000')


class RelayReloadTest(TestCase):
    """Reloading the settings must work in a relay as it does in a voter."""

    def test_relay_reloads_its_settings(self):
        settings = ControlSettings(
            control_id='c1',
            zone='a',
            address=ADDRESS,
            operator_address=ADDRESS,
            data_dir='unused',
            peers=(VOTER,),
            role=ControlRole.RELAY,
        )
        transport = MemoryNetwork().transport(ADDRESS)
        daemon = ControlDaemon(settings, transport, frontend=None)
        try:
            daemon.reload(settings)
        except AttributeError as error:
            self.fail(f'a relay cannot reload its settings: {error}')
