"""Commands that run a benchmark; each lives in a module of its own.

A bench module has ``OPTIONS``, a dictionary from the name of an option to
its default and help text, and ``run(options)``, which prints its results.
"""

from importlib import import_module

from cleo.helpers import argument

from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import BenchUnavailableError
from snipelead.cli.exceptions import UsageError

__all__ = ['BENCHES', 'BenchCommand', 'make_bench_commands']

BENCHES = {
    'calls': 'Calls under load and faults, against baselines.',
    'distribution': 'Convergence time and control bytes, by fleet size.',
    'hotpath': 'Latency that a node adds, against going direct.',
}
YES_NO = ('yes', 'no')


def load_bench(name):
    """Import the module of a benchmark.

    Raises
    ------
    BenchUnavailableError
        If a library that it needs is not installed.
    """
    try:
        return import_module(f'snipelead.bench.{name}')
    except ImportError as error:
        raise BenchUnavailableError(
            f'bench {name} cannot be loaded: {error}; install the extra by'
            " pip install 'snipelead[bench]'"
        ) from error


def parse_options(pairs, known):
    """Merge ``name=value`` arguments into the defaults of a benchmark.

    Parameters
    ----------
    pairs : sequence of str
        Arguments as given.
    known : dict of str to (str, str)
        Default and help text by option name.

    Returns
    -------
    dict of str to str
    """
    options = {name: str(default) for name, (default, _) in known.items()}
    for pair in pairs:
        name, separator, value = pair.partition('=')
        if not separator or name not in known:
            allowed = ', '.join(f'{name}=...' for name in sorted(known))
            raise UsageError(
                f'options of this bench are {allowed or "none"}, got {pair!r}'
            )
        _check_kind(name, options[name], value)
        options[name] = value
    return options


def _is_number(text):
    try:
        float(text)
    except ValueError:
        return False
    return True


def _check_kind(name, default, value):
    """Refuse text for an option whose default is a number or a list of them.

    The same holds for options that are either yes or no.
    """
    if default in YES_NO:
        if value not in YES_NO:
            raise UsageError(f'{name} must be yes or no, got {value!r}')
        return
    numbers = all(_is_number(part) for part in default.split(','))
    if numbers and not all(_is_number(part) for part in value.split(',')):
        raise UsageError(f'{name} must be like {default}, got {value!r}')


class BenchCommand(SnipeleadCommand):
    """Runs one benchmark."""

    arguments = [
        argument('options', 'NAME=VALUE', optional=True, multiple=True)
    ]

    def __init__(self, bench):
        self.bench = bench
        self.name = f'bench {bench}'
        self.description = BENCHES[bench]
        super().__init__()

    @property
    def help(self):
        """Options of the benchmark with their defaults."""
        lines = ['Options:']
        for name, (default, text) in load_bench(self.bench).OPTIONS.items():
            lines.append(f'  {name}={default}  {text}')
        lines += ['', 'Example:', f'  snipelead {self.name}']
        return '\n'.join(lines)

    def run_checked(self):
        """Run the benchmark, which prints its results."""
        module = load_bench(self.bench)
        options = parse_options(self.argument('options'), module.OPTIONS)
        module.run(options)


def make_bench_commands():
    """Return the commands of all benchmarks."""
    return [BenchCommand(bench) for bench in BENCHES]
