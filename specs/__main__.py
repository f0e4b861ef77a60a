"""Checks the models that must hold and prints the searches.

Usage: ``python -m specs [--large]``. The larger bounds take minutes and
more than one GiB of memory.
"""

import sys

from specs.at_most_once import AtMostOnce
from specs.checking import check_model
from specs.disk_loss import DiskLoss
from specs.drain import Drain
from specs.log_agreement import LogAgreement
from specs.node_floor import NodeFloor
from specs.read_barrier import ReadBarrier
from specs.release_race import ReleaseRace
from specs.replace_race import ReplaceRace
from specs.restarted_gate import RestartedGate

MODELS = (
    LogAgreement(max_term=2, max_entries=2),
    LogAgreement(max_term=3),
    DiskLoss(max_elections=2),
    ReadBarrier(),
    NodeFloor(max_lives=1),
    NodeFloor(zone_fallback=True, max_failovers=0),
    AtMostOnce(),
    AtMostOnce(max_attempts=1, max_incarnations=3),
    ReleaseRace(max_log=5),
    Drain(),
    RestartedGate(),
    ReplaceRace(),
)
LARGE_MODELS = (
    LogAgreement(max_term=3, max_entries=2),
    LogAgreement(max_term=4),
    DiskLoss(),
    ReadBarrier(max_term=3),
    NodeFloor(),
    NodeFloor(max_number=3, max_lives=1, max_control_restarts=0),
    AtMostOnce(max_incarnations=3),
    AtMostOnce(deliveries=3, max_attempts=1),
    ReleaseRace(max_log=6, max_elections=3),
    Drain(requests=6),
)


def main(arguments):
    """Check all models; returns the exit code."""
    models = LARGE_MODELS if '--large' in arguments else MODELS
    failed = False
    for model in models:
        report = check_model(model)
        print(report, flush=True)
        failed |= not report.holds
    return int(failed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
