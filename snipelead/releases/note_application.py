"""Application of release notes to the current release."""

from itertools import count

from msgspec import Struct
from msgspec.structs import replace

from snipelead.releases.checks import check_release
from snipelead.releases.checks import find_errors
from snipelead.releases.checks import Refusal
from snipelead.releases.document import Customer
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.types import ServiceName

__all__ = [
    'AppliedNote',
    'apply_note',
    'apply_note_leniently',
    'make_assumed_release',
    'validate_note',
]

_KINDS = ('service', 'route', 'setting', 'customer')


def _get_entry(change):
    entries = [
        (kind, value)
        for kind in _KINDS
        if (value := getattr(change, kind)) is not None
    ]
    if len(entries) != 1:
        raise InvalidNoteError(
            'a change must contain exactly one service, route, setting or'
            f' customer, got {len(entries)}'
        )
    return entries[0]


def _apply_change(tables, change):
    kind, value = _get_entry(change)
    table = tables[kind]
    match change.action, value:
        case 'withdraw', str() as name:
            if table.pop(name, None) is None:
                raise InvalidNoteError(f'{kind} {name!r} does not exist')
        case 'add' | 'change', (Service() | Route() | Setting() | Customer()):
            if (change.action == 'add') == (value.name in table):
                problem = (
                    'already exists'
                    if change.action == 'add'
                    else 'does not exist'
                )
                raise InvalidNoteError(f'{kind} {value.name!r} {problem}')
            table[value.name] = value
        case _:
            raise InvalidNoteError(
                f'action {change.action} of a {kind} requires'
                f' {"a name" if change.action == "withdraw" else "a value"},'
                f' got {value!r}'
            )


def _check_number(current, note):
    if note.release <= current.number:
        raise ReleaseNumberTooLowError(
            f'release {note.release} is not greater than the current release'
            f' {current.number}',
            current=current.number,
        )


def _copy_tables(release):
    return {
        'service': dict(release.services),
        'route': dict(release.routes),
        'setting': dict(release.settings),
        'customer': dict(release.customers),
    }


def apply_note(current, note):
    """Build the release that results from a release note.

    Parameters
    ----------
    current : Release
        Release that the note is applied to.
    note : ReleaseNote
        Release note, applied completely or not at all.

    Returns
    -------
    Release
        The new release, validated.

    Raises
    ------
    ReleaseNumberTooLowError
        If the release number is not greater than the current one.
    InvalidNoteError
        If a change conflicts with the current release or a value is not
        allowed.
    DanglingReferenceError
        If a route refers to a service or setting that the new release lacks.
    """
    _check_number(current, note)
    tables = _copy_tables(current)
    for change in note.changes:
        _apply_change(tables, change)
    release = Release(note.release, *(tables[kind] for kind in _KINDS))
    check_release(release, current)
    return release


class AppliedNote(Struct, frozen=True):
    """Result of a release note, with everything that is not allowed.

    Parameters
    ----------
    release : Release
        The new release; not valid if there are refusals.
    refusals : tuple of Refusal
        Reasons to refuse the note.
    """

    release: Release
    refusals: tuple[Refusal, ...]


def apply_note_leniently(current, note):
    """Apply a release note and collect all errors.

    An entry of a contradictory change replaces the one of its name, so that
    one mistake is not reported again as a missing reference.

    Parameters
    ----------
    current : Release
        Release that the note is applied to.
    note : ReleaseNote
        Release note.

    Returns
    -------
    AppliedNote
    """
    refusals = []
    try:
        _check_number(current, note)
    except ReleaseNumberTooLowError as error:
        refusals.append(Refusal((), error))
    tables = _copy_tables(current)
    for change in note.changes:
        try:
            _apply_change(tables, change)
        except InvalidNoteError as error:
            values = [(kind, getattr(change, kind)) for kind in _KINDS]
            values = [(k, v) for k, v in values if v is not None]
            entries = tuple(f'{k} {_get_name(v)!r}' for k, v in values)
            refusals.append(Refusal(entries, error))
            for kind, value in values:
                if not isinstance(value, str):
                    tables[kind][value.name] = value
    release = Release(note.release, *(tables[kind] for kind in _KINDS))
    refusals.extend(find_errors(release, current))
    return AppliedNote(release, tuple(refusals))


def _get_name(value):
    return value if isinstance(value, str) else value.name


def _find_prerequisites(note):
    """Return the names that the current release must contain, by kind.

    The names of each kind are dictionary keys, which keeps their order.
    """
    prerequisites = {kind: {} for kind in _KINDS}
    added = {kind: set() for kind in _KINDS}
    for change in note.changes:
        kind, value = _get_entry(change)
        name = _get_name(value)
        if change.action == 'add':
            added[kind].add(name)
        elif name not in added[kind]:
            prerequisites[kind][name] = None
    for change in note.changes:
        if isinstance(change.route, Route):
            for service in change.route.services:
                if service not in added['service']:
                    prerequisites['service'][service] = None
            for name in change.route.settings:
                if name not in added['setting']:
                    prerequisites['setting'][name] = None
    return prerequisites


def validate_note(note):
    """Validate a release note without the current release.

    Parameters
    ----------
    note : ReleaseNote
        Release note to validate.

    Returns
    -------
    tuple of str
        Entries that the current release must contain for the note to be
        accepted, such as ``service 'stock'``.

    Raises
    ------
    ReleaseNumberTooLowError, InvalidNoteError, DanglingReferenceError
        If the note would be rejected for any current release.
    """
    prerequisites = _find_prerequisites(note)
    apply_note(_make_placeholder_release(note, prerequisites), note)
    return tuple(
        f'{kind} {name!r}'
        for kind, names in prerequisites.items()
        for name in names
    )


def make_assumed_release(note):
    """Return a release with the entries that a note requires.

    Parameters
    ----------
    note : ReleaseNote
        Release note; changes without exactly one entry are ignored.

    Returns
    -------
    Release
        Release 0, whose entries have default values.
    """
    changes = tuple(c for c in note.changes if _has_one_entry(c))
    note = replace(note, changes=changes)
    return _make_placeholder_release(note, _find_prerequisites(note))


def _has_one_entry(change):
    return sum(getattr(change, kind) is not None for kind in _KINDS) == 1


def _make_placeholder_release(note, prerequisites):
    """Return a release that contains the prerequisites of a note."""
    services = {name: Service(name) for name in prerequisites['service']}
    placeholder = next(iter(services), _find_unused_service_name(note))
    routes = {
        name: Route(name, placeholder) for name in prerequisites['route']
    }
    if routes:
        services.setdefault(placeholder, Service(placeholder))
    settings = {name: Setting(name, True) for name in prerequisites['setting']}
    customers = {name: Customer(name) for name in prerequisites['customer']}
    return Release(0, services, routes, settings, customers)


def _find_unused_service_name(note):
    used = {
        service.name if isinstance(service, Service) else service
        for service in (change.service for change in note.changes)
    }
    return next(
        name
        for number in count()
        if (name := ServiceName(f'service-{number}')) not in used
    )
