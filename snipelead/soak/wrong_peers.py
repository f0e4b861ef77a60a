"""Peers that send wrong bytes to the processes of a run."""

import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import ConnectionLostError
from snipelead.testing.wrong_bytes import WrongBytes

__all__ = ['WrongPeer']

# Longest pause between two connections to a process, in seconds.
MAX_PAUSE_S = 0.3
# Longest time that one of them stays open, in seconds.
MAX_OPEN_S = 0.3


class WrongPeer:
    """Sends wrong bytes to each listening address of a process.

    They may end no more than the connection that they are sent on.

    Parameters
    ----------
    machine : Machine
        Machine of the process.
    checker : HistoryChecker
        Counts the connections.
    rng : random.Random
        Random generator of addresses, bytes and pauses.
    """

    def __init__(self, machine, checker, rng):
        self.machine = machine
        self.checker = checker
        self.rng = rng
        self.wrong_bytes = WrongBytes(rng)

    async def run(self):
        """Send wrong bytes until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            address, data = self._draw()
            with trio.move_on_after(MAX_OPEN_S):
                try:
                    await self._send(address, data)
                except (ConnectFailedError, ConnectionLostError):
                    continue

    async def _send(self, address, data):
        with await connect(address) as connection:
            self.checker.counts['wrong bytes'] += 1
            await connection.send(data)
            while await connection.receive():
                pass

    def _draw(self):
        """Return an address and bytes to send to it."""
        draw_request = self.wrong_bytes.draw_request
        settings = self.machine.process.settings
        if settings['kind'] == 'control':
            choices = (
                ('listen_address', self.wrong_bytes.draw_frame),
                ('order_address', draw_request),
                ('order_address', self._draw_configuration),
            )
        else:
            choices = (
                ('caller_address', draw_request),
                ('peer_address', draw_request),
                ('ready_address', draw_request),
                ('report_address', draw_request),
                ('report_address', self._draw_heartbeat),
            )
        name, draw = self.rng.choice(choices)
        return settings[name], draw()

    def _draw_configuration(self):
        return self.wrong_bytes.draw_document(b'PUT', b'/config')

    def _draw_heartbeat(self):
        return self.wrong_bytes.draw_document(b'PUT', b'/instances/t')
