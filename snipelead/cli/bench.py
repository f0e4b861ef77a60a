"""Commands that run benchmarks.

Each benchmark is a module of ``snipelead.bench``. It declares ``OPTIONS``, a
dictionary from the name of an option to its default and help text, and
``run(options)``, which prints the results.
"""

from importlib import import_module

from cleo.helpers import argument

from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import BenchUnavailableError
from snipelead.cli.exceptions import UsageError

__all__ = ['BENCHMARKS', 'BenchCommand', 'make_bench_commands']

BENCHMARKS = {
    'calls': 'Measure calls under load and faults, compared with baselines.',
    'distribution': 'Measure convergence time and control bytes of fleets.',
    'hotpath': 'Measure the latency that a node adds to a direct call.',
}
BOOLEAN_VALUES = ('yes', 'no')


def load_benchmark(name):
    """Import the module of a benchmark.

    Parameters
    ----------
    name : str
        One of the keys of ``BENCHMARKS``.

    Returns
    -------
    module

    Raises
    ------
    BenchUnavailableError
        If a library that the benchmark requires is not installed.
    """
    try:
        return import_module(f'snipelead.bench.{name}')
    except ImportError as error:
        raise BenchUnavailableError(
            f'benchmark {name} cannot be imported: {error}; install its'
            " dependencies with pip install 'snipelead[bench]'"
        ) from error


def parse_options(assignments, declared_options):
    """Override the default options of a benchmark.

    Parameters
    ----------
    assignments : sequence of str
        Arguments of the form ``name=value``.
    declared_options : dict of str to (str, str)
        Default and help text by option name.

    Returns
    -------
    dict of str to str
        Value by option name.

    Raises
    ------
    UsageError
        If an argument has another form, names an unknown option, or has a
        value of the wrong type.
    """
    options = {
        name: str(default) for name, (default, _) in declared_options.items()
    }
    for assignment in assignments:
        name, separator, value = assignment.partition('=')
        if not separator or name not in declared_options:
            allowed = ', '.join(
                f'{name}=...' for name in sorted(declared_options)
            )
            raise UsageError(
                f'options of this benchmark are {allowed or "none"},'
                f' got {assignment!r}'
            )
        _check_value(name, options[name], value)
        options[name] = value
    return options


def _is_number(text):
    try:
        float(text)
    except ValueError:
        return False
    return True


def _check_value(name, default, value):
    """Check that a value has the same type as the default of its option.

    The types are yes or no, and a number or a list of numbers separated by
    commas. For any other default, all values are allowed.
    """
    if default in BOOLEAN_VALUES:
        if value not in BOOLEAN_VALUES:
            raise UsageError(f'{name} must be yes or no, got {value!r}')
        return
    expects_numbers = all(_is_number(part) for part in default.split(','))
    if expects_numbers and not all(
        _is_number(part) for part in value.split(',')
    ):
        raise UsageError(
            f'{name} must be a number or a list of numbers like {default},'
            f' got {value!r}'
        )


class BenchCommand(SnipeleadCommand):
    """Runs one benchmark."""

    arguments = [
        argument('options', 'NAME=VALUE', optional=True, multiple=True)
    ]

    def __init__(self, benchmark):
        self.benchmark = benchmark
        self.name = f'bench {benchmark}'
        self.description = BENCHMARKS[benchmark]
        super().__init__()

    @property
    def help(self):
        """Description of the options with their defaults, and an example."""
        lines = ['Options:']
        for name, (default, description) in load_benchmark(
            self.benchmark
        ).OPTIONS.items():
            lines.append(f'  {name}={default}  {description}')
        lines += ['', 'Example:', f'  snipelead {self.name}']
        return '\n'.join(lines)

    def run_command(self):
        """Parse the options and run the benchmark."""
        module = load_benchmark(self.benchmark)
        options = parse_options(self.argument('options'), module.OPTIONS)
        module.run(options)


def make_bench_commands():
    """Return one command for each benchmark."""
    return [BenchCommand(benchmark) for benchmark in BENCHMARKS]
