"""Application of release notes to the current release."""

from itertools import count

from snipelead.releases.checks import check_release
from snipelead.releases.document import Customer
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.types import ServiceName

__all__ = ['apply_note', 'validate_note']

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
    if note.release <= current.number:
        raise ReleaseNumberTooLowError(
            f'release {note.release} is not greater than the current release'
            f' {current.number}',
            current=current.number,
        )
    tables = {
        'service': dict(current.services),
        'route': dict(current.routes),
        'setting': dict(current.settings),
        'customer': dict(current.customers),
    }
    for change in note.changes:
        _apply_change(tables, change)
    release = Release(note.release, *(tables[kind] for kind in _KINDS))
    check_release(release, current)
    return release


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
    # Apply the note to a placeholder release that contains the prerequisites.
    services = {name: Service(name) for name in prerequisites['service']}
    placeholder = next(iter(services), _find_unused_service_name(note))
    routes = {
        name: Route(name, placeholder) for name in prerequisites['route']
    }
    if routes:
        services.setdefault(placeholder, Service(placeholder))
    settings = {name: Setting(name, True) for name in prerequisites['setting']}
    customers = {name: Customer(name) for name in prerequisites['customer']}
    apply_note(Release(0, services, routes, settings, customers), note)
    return tuple(
        f'{kind} {name!r}'
        for kind, names in prerequisites.items()
        for name in names
    )


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
