"""Differences between two releases for operators, without API keys."""

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct
from msgspec.structs import fields

__all__ = ['Difference', 'DifferenceKind', 'ValueChange', 'compare_releases']

_TABLES = {
    'service': 'services',
    'route': 'routes',
    'setting': 'settings',
    'customer': 'customers',
}
_KEYS_FIELD = 'api_keys'


class DifferenceKind(Enum):
    """What happened to an entry."""

    ADDED = 'added'
    CHANGED = 'changed'
    REMOVED = 'removed'


class ValueChange(Struct, frozen=True):
    """Old and new value of a field.

    Parameters
    ----------
    field : str
        Name of the field; never that of the API keys.
    old, new : object
        Values as in JSON.
    """

    field: str
    old: Any
    new: Any


class Difference(Struct, frozen=True, omit_defaults=True):
    """Difference of one entry.

    Parameters
    ----------
    kind : DifferenceKind
        What happened to the entry.
    table : {'service', 'route', 'setting', 'customer'}
        Kind of the entry.
    name : str
        Name of the entry.
    values : tuple of ValueChange
        Fields that differ, if the entry was changed.
    keys_added, keys_removed : int
        Numbers of API keys of a customer that were added and removed.
    """

    kind: DifferenceKind
    table: str
    name: str
    values: tuple[ValueChange, ...] = ()
    keys_added: int = 0
    keys_removed: int = 0


def _compare_values(old, new):
    return tuple(
        ValueChange(
            field.name,
            msgspec.to_builtins(getattr(old, field.name)),
            msgspec.to_builtins(getattr(new, field.name)),
        )
        for field in fields(new)
        if field.name != _KEYS_FIELD
        and getattr(old, field.name) != getattr(new, field.name)
    )


def _compare_entries(table, name, old, new):
    old_keys = set(getattr(old, _KEYS_FIELD, ()))
    new_keys = set(getattr(new, _KEYS_FIELD, ()))
    values = ()
    if old is None:
        kind = DifferenceKind.ADDED
    elif new is None:
        kind = DifferenceKind.REMOVED
    else:
        kind = DifferenceKind.CHANGED
        values = _compare_values(old, new)
    return Difference(
        kind,
        table,
        name,
        values,
        len(new_keys - old_keys),
        len(old_keys - new_keys),
    )


def compare_releases(old, new):
    """Return what differs between two releases.

    Parameters
    ----------
    old, new : Release
        Releases whose API keys are either both plain or both masked with the
        same salt.

    Returns
    -------
    tuple of Difference
        Services, routes, settings and customers, in this order.
    """
    differences = []
    for table, attribute in _TABLES.items():
        old_entries = getattr(old, attribute)
        new_entries = getattr(new, attribute)
        differences += [
            _compare_entries(
                table, name, old_entries.get(name), new_entries.get(name)
            )
            for name in old_entries | new_entries
            if old_entries.get(name) != new_entries.get(name)
        ]
    # Keys in another order change nothing.
    return tuple(d for d in differences if _is_relevant(d))


def _is_relevant(difference):
    return (
        difference.kind is not DifferenceKind.CHANGED
        or difference.values
        or difference.keys_added
        or difference.keys_removed
    )
