"""Beginnings and ends of faults of one machine."""

from snipelead.soak.deployment import MachineState

__all__ = [
    'allow_descriptors',
    'allow_writes',
    'block_descriptors',
    'block_writes',
    'delay_traffic',
    'erase_disk',
    'freeze',
    'heal',
    'kill',
    'partition',
    'reset_connections',
    'stall_connections',
    'start',
    'thaw',
]


def kill(machine):
    """Kill the process of a machine."""
    machine.kill()


def start(machine):
    """Start the process of a machine."""
    machine.start()


def freeze(machine):
    """Suspend the process of a machine if it runs."""
    if machine.process.is_running():
        machine.freeze()


def thaw(machine):
    """Resume the process of a machine if it is suspended."""
    if machine.state is MachineState.FROZEN:
        machine.thaw()


def erase_disk(machine):
    """Kill the process of a machine and erase its data."""
    machine.kill()
    machine.erase_data()


def block_writes(machine):
    """Let all writes of a machine fail."""
    machine.block_writes()


def allow_writes(machine):
    """Let writes of a machine succeed again."""
    machine.allow_writes()


def block_descriptors(machine):
    """Leave a machine no free file descriptors."""
    machine.block_descriptors()


def allow_descriptors(machine):
    """Give a machine its file descriptors back."""
    machine.allow_descriptors()


def partition(machine, *directions):
    """Cut a machine off, in some directions or in both."""
    for relay in machine.relays:
        relay.cut(*directions)


def heal(machine):
    """End all faults of the connections of a machine."""
    for relay in machine.relays:
        relay.heal()


def reset_connections(machine):
    """Reset the open connections of a machine."""
    for relay in machine.relays:
        relay.reset()


def stall_connections(machine):
    """Stall the open connections of a machine for good."""
    for relay in machine.relays:
        relay.stall_connections()


def delay_traffic(machine, delay_s):
    """Delay all traffic of a machine, in seconds."""
    for relay in machine.relays:
        relay.delay_s = delay_s
