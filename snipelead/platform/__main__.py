"""Entry point of a node or control process on the platform.

Only the modules of the configured role are imported, since memory on the
platform is scarce.
"""

import signal
import sys

USAGE = 'usage: python -m snipelead.platform --settings FILE'
USAGE_EXIT_STATUS = 2


def main(arguments):
    """Run the process described by a settings file.

    Parameters
    ----------
    arguments : list of str
        Command line arguments without the program name.

    Returns
    -------
    int
        Exit status.
    """
    # The default action of SIGHUP would terminate the process before its
    # handler is installed; the imports take most of the startup time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    match arguments:
        case ['--settings', path]:
            run(path)
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_EXIT_STATUS
    return 0


def run(path):
    """Run the process described by a settings file until it stops.

    Parameters
    ----------
    path : str
        Settings file.
    """
    import trio

    from snipelead.platform.settings import load_platform_settings
    from snipelead.platform.settings import PlatformControlSettings
    from snipelead.platform.settings import PlatformNodeSettings
    from snipelead.utils.clock import SuspendAwareClock

    settings = load_platform_settings(path)
    match settings:
        case PlatformNodeSettings():
            from snipelead.platform.node import run_platform_node

            run_process = run_platform_node
        case PlatformControlSettings():
            from snipelead.platform.control import run_platform_control

            run_process = run_platform_control
    trio.run(run_process, settings, path, clock=SuspendAwareClock())


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
