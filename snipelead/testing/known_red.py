"""Tests that are known to fail for a fault that is not mended yet."""

from pathlib import Path

from msgspec import Struct

from snipelead.testing.exceptions import KnownRedError

__all__ = ['KNOWN_RED', 'KnownRed', 'load_known_red']

KNOWN_RED = 'KNOWN-RED.txt'


class KnownRed(Struct, frozen=True):
    """Entry of the list.

    Parameters
    ----------
    test : str
        Node id of the test in pytest.
    command : str
        Command and seed that show the failure.
    seen : str
        What was seen.
    issue : str
        Issue that the fault is tracked by.
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
    if set(fields) != set(KnownRed.__struct_fields__):
        expected = ', '.join(KnownRed.__struct_fields__)
        raise KnownRedError(
            f'{KNOWN_RED}: an entry must have the lines {expected},'
            f' got {", ".join(fields)}'
        )
    return KnownRed(**fields)


def load_known_red(root):
    """Read the list of a repository.

    Parameters
    ----------
    root : Path
        Root of the repository. Entries are separated by empty lines; lines
        that begin with ``#`` are comments.

    Returns
    -------
    list of KnownRed
        Empty when there is no list.

    Raises
    ------
    KnownRedError
        If an entry does not have exactly its four lines.
    """
    path = Path(root) / KNOWN_RED
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    text = '\n'.join(line for line in lines if not line.startswith('#'))
    blocks = [block.strip() for block in text.split('\n\n')]
    return [_parse_entry(block) for block in blocks if block]
