"""Command line of the soak."""

import argparse
from concurrent.futures import as_completed
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
import shutil
import sys
import tempfile

import trio

from snipelead.soak.run import find_broken
from snipelead.soak.run import SoakRun
from snipelead.soak.run import summarise

SECONDS = 30.0


def run_seed(seed, seconds, folder):
    """Run one seed; returns whether it held, and a text on it."""
    folder = Path(folder)
    # Data of an earlier run would make it another deployment.
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    run = SoakRun(seed, seconds, folder)
    try:
        trio.run(run.run)
    except BaseException as error:  # noqa: BLE001
        found = find_broken(error) or error
        return False, f'{found!r}; {", ".join(run.faults.done)}'
    shutil.rmtree(folder, ignore_errors=True)
    return True, summarise(run)


def main():
    """Run seeds; logs of those that fail are kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--folder', default=None)
    options = parser.parse_args()
    folder = Path(options.folder or tempfile.mkdtemp(prefix='soak-'))
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        futures = {
            pool.submit(
                run_seed, seed, options.seconds, folder / f'seed-{seed}'
            ): seed
            for seed in range(options.seed, options.seed + options.count)
        }
        for future in as_completed(futures):
            seed = futures[future]
            held, text = future.result()
            print(f'seed {seed}: {"holds" if held else "FAILED"}; {text}')
            sys.stdout.flush()
            if not held:
                failed.append(seed)
    print(f'{options.count - len(failed)} seeds hold, {len(failed)} failed')
    if failed:
        print(f'failed: {sorted(failed)}; logs in {folder}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
