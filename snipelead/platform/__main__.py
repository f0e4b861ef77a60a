"""Entry point of a process on the platform.

It imports only what its role needs, since memory is dear there.
"""

import signal
import sys

USAGE = 'usage: python -m snipelead.platform --settings FILE'
USAGE_STATUS = 2


def main(arguments):
    """Run the process that a settings file describes."""
    # Until the receiver of the signal is there it would end the process;
    # the imports take longer than all else of a start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    match arguments:
        case ['--settings', path]:
            run(path)
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_STATUS
    return 0


def run(path):
    """Run the process that a settings file describes until it stops."""
    import trio

    from snipelead.platform.settings import load_platform_settings
    from snipelead.platform.settings import PlatformControlSettings
    from snipelead.platform.settings import PlatformNodeSettings

    settings = load_platform_settings(path)
    match settings:
        case PlatformNodeSettings():
            from snipelead.platform.node import run_platform_node

            trio.run(run_platform_node, settings, path)
        case PlatformControlSettings():
            from snipelead.platform.control import run_platform_control

            trio.run(run_platform_control, settings, path)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
