"""Channels to the other voters."""

from contextlib import AsyncExitStack

from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.types import ControlRole

__all__ = ['PeerChannels', 'voters_of']


def voters_of(settings):
    """Return the peers of the settings that vote, this control included.

    Parameters
    ----------
    settings : ControlSettings
        Settings of any control.

    Returns
    -------
    list of Peer
    """
    return [p for p in settings.peers if p.role is ControlRole.VOTER]


class PeerChannels:
    """One channel to each other voter of the settings.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this control.
    transport : Transport
        Makes the channels.
    """

    def __init__(self, settings, transport):
        self.settings = settings
        self.transport = transport
        self.channels = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self):
        for peer in voters_of(self.settings):
            if peer.control_id != self.settings.control_id:
                channel = self.transport.connect(peer.address)
                self.channels[peer.control_id] = channel
                await self.stack.enter_async_context(channel)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    @property
    def control_ids(self):
        """Controls that channels lead to."""
        return list(self.channels)

    async def call(self, control_id, request, timeout_s):
        """Call a procedure of another voter.

        Raises
        ------
        SnipeleadError
            As :meth:`~snipelead.rpc.base.Channel.call`.
        """
        channel = self.channels.get(control_id)
        if channel is None:
            raise RpcUnreachableError(
                f'{control_id!r} is not a voter of the settings'
            )
        return await channel.call(request, timeout_s)
