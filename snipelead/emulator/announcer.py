"""Announcement of a stand-in target to the node beside it."""

import httpx
import trio

from snipelead.emulator.events import NODE_UNREACHABLE
from snipelead.emulator.events import TARGET_ANNOUNCED
from snipelead.emulator.events import TARGET_LEAVING
from snipelead.logs import log_event
from snipelead.types import TargetState

__all__ = ['Announcer']

RENEW_S = 1.0
RETRY_S = 0.25
REQUEST_TIMEOUT_S = 2.0
LEAVE_ATTEMPTS = 3


class Announcer:
    """Keeps a target announced; a context manager that owns the client.

    Parameters
    ----------
    settings : TargetSettings
        The target and the admin address of its node.
    address : Address
        Where the target listens.
    """

    def __init__(self, settings, address):
        self.settings = settings
        self.address = address
        self.path = f'/v1/targets/{settings.target_id}'

    async def __aenter__(self):
        self.client = httpx.AsyncClient(
            base_url=f'http://{self.settings.node_admin_address}',
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
        )
        return self

    async def __aexit__(self, *exc_info):
        with trio.CancelScope(shield=True):
            await self.client.aclose()

    async def run(self):
        """Announce the target and renew it until cancelled."""
        while True:
            if await self._announce():
                log_event(TARGET_ANNOUNCED, target=self.settings.target_id)
                await self._renew()
            else:
                await trio.sleep(RETRY_S)

    async def leave(self):
        """Tell the node that the target gets no new work."""
        log_event(TARGET_LEAVING, target=self.settings.target_id)
        await self._persist('POST', f'{self.path}/leaving')

    async def remove(self):
        """Tell the node that the target is gone."""
        await self._persist('DELETE', self.path)

    async def _announce(self):
        settings = self.settings
        response = await self._send(
            'POST',
            '/v1/targets',
            {
                'target_id': settings.target_id,
                'service': settings.service,
                'address': self.address,
                'slots': settings.slots,
                'connections': settings.connections,
                'state': TargetState.SERVING.value,
            },
        )
        return response is not None and response.is_success

    async def _renew(self):
        """Renew until the node no longer knows the target."""
        while True:
            await trio.sleep(RENEW_S)
            response = await self._send('POST', f'{self.path}/renew')
            if response is not None and response.status_code == 404:
                return

    async def _persist(self, method, path):
        for _ in range(LEAVE_ATTEMPTS):
            if await self._send(method, path) is not None:
                return
            await trio.sleep(RETRY_S)

    async def _send(self, method, path, document=None):
        try:
            return await self.client.request(method, path, json=document)
        except httpx.HTTPError as error:
            log_event(
                NODE_UNREACHABLE,
                target=self.settings.target_id,
                error=repr(error),
            )
            return None
