"""Command line of the soak test."""

import argparse
from concurrent.futures import as_completed
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
import shutil
import sys
import tempfile

import trio

from snipelead.soak.run import DEFAULT_TARGET_COUNT
from snipelead.soak.run import find_violation
from snipelead.soak.run import SoakRun
from snipelead.soak.run import summarise

DEFAULT_DURATION_S = 30.0


def run_seed(seed, seconds, directory, target_count):
    """Run one seed.

    Returns
    -------
    bool
        Whether the run completed without a violation.
    str
        Summary of the run, or its error and the injected faults.
    """
    directory = Path(directory)
    # The processes would load the data of an earlier run.
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    run = SoakRun(seed, seconds, directory, target_count)
    try:
        trio.run(run.run)
    except BaseException as error:  # noqa: BLE001
        cause = find_violation(error) or error
        return False, f'{cause!r}; {", ".join(run.fault_injector.injected)}'
    shutil.rmtree(directory, ignore_errors=True)
    return True, summarise(run)


def main():
    """Run seeds; the logs of failed seeds are kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=DEFAULT_DURATION_S)
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--folder', default=None)
    parser.add_argument('--targets', type=int, default=DEFAULT_TARGET_COUNT)
    options = parser.parse_args()
    directory = Path(options.folder or tempfile.mkdtemp(prefix='soak-'))
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        futures = {
            pool.submit(
                run_seed,
                seed,
                options.seconds,
                directory / f'seed-{seed}',
                options.targets,
            ): seed
            for seed in range(options.seed, options.seed + options.count)
        }
        for future in as_completed(futures):
            seed = futures[future]
            passed, summary = future.result()
            print(
                f'seed {seed}: {"passed" if passed else "FAILED"}; {summary}'
            )
            sys.stdout.flush()
            if not passed:
                failed.append(seed)
    print(f'{options.count - len(failed)} seeds passed, {len(failed)} failed')
    if failed:
        print(f'failed seeds: {sorted(failed)}; logs in {directory}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
