"""Announces an emulated target to its local node."""

import httpx
import trio

from snipelead.emulator.events import NODE_UNREACHABLE
from snipelead.emulator.events import TARGET_ANNOUNCED
from snipelead.emulator.events import TARGET_LEAVING
from snipelead.logs import log_event
from snipelead.types import TargetState

__all__ = ['Announcer']

RENEW_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.25
REQUEST_TIMEOUT_S = 2.0
LEAVE_ATTEMPTS = 3


class Announcer:
    """Announces a target to its node and renews the announcement.

    A context manager that owns the HTTP client.

    Parameters
    ----------
    settings : TargetSettings
        The target and the admin address of its node.
    address : Address
        Address that the target listens on.
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
        """Announce the target and renew its lease until cancelled."""
        while True:
            if await self._announce():
                log_event(TARGET_ANNOUNCED, target=self.settings.target_id)
                await self._renew()
            else:
                await trio.sleep(RETRY_DELAY_S)

    async def leave(self):
        """Tell the node to send no new requests to the target."""
        log_event(TARGET_LEAVING, target=self.settings.target_id)
        await self._send_with_retries('POST', f'{self.path}/leaving')

    async def remove(self):
        """Remove the target from the node."""
        await self._send_with_retries('DELETE', self.path)

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
        """Renew the lease until the node no longer knows the target."""
        while True:
            await trio.sleep(RENEW_INTERVAL_S)
            response = await self._send('POST', f'{self.path}/renew')
            if response is not None and response.status_code == 404:
                return

    async def _send_with_retries(self, method, path):
        for _ in range(LEAVE_ATTEMPTS):
            if await self._send(method, path) is not None:
                return
            await trio.sleep(RETRY_DELAY_S)

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
