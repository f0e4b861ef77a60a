"""List of tests that fail because of a known defect."""

from pathlib import Path

from msgspec import Struct

from snipelead.testing.exceptions import KnownFailuresError

__all__ = ['KNOWN_FAILURES_FILE', 'KnownFailure', 'load_known_failures']

KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'


class KnownFailure(Struct, frozen=True):
    """One test that is known to fail.

    Parameters
    ----------
    test : str
        Node id of the test in pytest.
    command : str
        Command and seed that reproduce the failure.
    seen : str
        Observed failure.
    issue : str
        Issue that tracks the defect.
    """

    test: str
    command: str
    seen: str
    issue: str


def _parse_entry(block):
    fields = {}
    for line in block.splitlines():
        name, _, value = line.partition(':')
        fields[name.strip()] = value.strip()
    if set(fields) != set(KnownFailure.__struct_fields__):
        expected = ', '.join(KnownFailure.__struct_fields__)
        raise KnownFailuresError(
            f'{KNOWN_FAILURES_FILE}: each entry must have the fields'
            f' {expected}, got {", ".join(fields)}'
        )
    return KnownFailure(**fields)


def load_known_failures(root):
    """Read the list of known test failures of a repository.

    Parameters
    ----------
    root : Path
        Root of the repository. Entries are separated by empty lines; lines
        that begin with ``#`` are comments.

    Returns
    -------
    list of KnownFailure
        Entries of the list; empty when there is none.

    Raises
    ------
    KnownFailuresError
        If an entry does not have exactly the four fields.
    """
    path = Path(root) / KNOWN_FAILURES_FILE
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    text = '\n'.join(line for line in lines if not line.startswith('#'))
    blocks = [block.strip() for block in text.split('\n\n')]
    return [_parse_entry(block) for block in blocks if block]
