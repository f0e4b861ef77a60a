"""Runs a control on the platform."""

from functools import partial

from snipelead.daemons.control import ControlDaemon
from snipelead.daemons.process import run_process
from snipelead.platform.frontend import PlatformControlFrontend
from snipelead.platform.settings import load_platform_settings
from snipelead.rpc.stream import open_stream_transport

__all__ = ['run_platform_control']


async def run_platform_control(settings, path):
    """Run a control until it is asked to stop.

    Parameters
    ----------
    settings : PlatformControlSettings
        Settings of the control.
    path : str
        Settings file; read again when it changes or on SIGHUP.
    """
    frontend = PlatformControlFrontend(settings)
    await run_process(
        partial(ControlDaemon, frontend=frontend),
        settings.to_settings(),
        open_stream_transport,
        lambda: load_platform_settings(path).to_settings(),
        path,
        control=settings.ip,
    )
