"""Check the models that must hold and print a report on each.

Usage: ``python -m specs [--large]``. The larger bounds take minutes and
more than 1 GiB of memory.
"""

import sys

from specs.at_most_once import AtMostOnce
from specs.checking import check_model
from specs.control_choice import ControlChoice
from specs.disk_loss import DiskLoss
from specs.drain import Drain
from specs.early_response import EarlyResponse
from specs.ejection import TargetEjection
from specs.log_agreement import LogAgreement
from specs.newest_release import NewestRelease
from specs.node_floor import NodeFloor
from specs.node_restart import NodeRestart
from specs.quarantine import Quarantine
from specs.quota import Quota
from specs.read_barrier import ReadBarrier
from specs.release_race import ReleaseRace
from specs.replace_race import ReplaceRace
from specs.revocation import Revocation
from specs.rollout import RolloutGrants
from specs.rollout_completion import RolloutCompletion
from specs.stated_limit import StatedLimit

MODELS = (
    LogAgreement(max_term=2, max_entries=2),
    LogAgreement(max_term=3),
    DiskLoss(max_elections=2),
    ReadBarrier(),
    NodeFloor(max_restarts=1),
    NodeFloor(zone_fallback=True, max_failovers=0),
    AtMostOnce(),
    AtMostOnce(max_attempts=1, max_incarnations=3),
    ReleaseRace(max_log=5),
    Drain(),
    NodeRestart(),
    ReplaceRace(),
    ControlChoice(),
    StatedLimit(),
    Quarantine(),
    EarlyResponse(),
    TargetEjection(),
    RolloutGrants(),
    RolloutCompletion(),
    Revocation(),
    NewestRelease(),
    Quota(),
)
LARGE_MODELS = (
    LogAgreement(max_term=3, max_entries=2),
    LogAgreement(max_term=4),
    DiskLoss(),
    ReadBarrier(max_term=3),
    NodeFloor(),
    NodeFloor(max_number=3, max_restarts=1, max_control_restarts=0),
    AtMostOnce(max_incarnations=3),
    AtMostOnce(deliveries=3, max_attempts=1),
    ReleaseRace(max_log=6, max_elections=3),
    Drain(requests=6),
    StatedLimit(max_periods=2),
    Quarantine(max_restarts=2),
    Revocation(max_time=4),
)


def main(arguments):
    """Check all models and return the exit code.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments; ``--large`` selects the larger bounds.

    Returns
    -------
    int
        0 if every model holds, 1 otherwise.
    """
    models = LARGE_MODELS if '--large' in arguments else MODELS
    failed = False
    for model in models:
        report = check_model(model)
        print(report, flush=True)
        failed |= not report.holds
    return int(failed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
