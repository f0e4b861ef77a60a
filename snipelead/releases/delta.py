"""Net difference between two releases."""

from msgspec import Struct

from snipelead.releases.checks import check_release
from snipelead.releases.document import Customer
from snipelead.releases.document import Release
from snipelead.releases.document import ReleaseId
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import DigestMismatchError

__all__ = ['Delta', 'apply_delta', 'make_delta']


class Delta(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Net changes that turn one release into another.

    Parameters
    ----------
    base, result : ReleaseId
        Identities of the release to start from and of the resulting release.
    services, routes, settings, customers : tuple
        Entries that were added or changed.
    removed_services, removed_routes, removed_settings : tuple of str
        Names of the entries that were removed.
    removed_customers : tuple of str
        Names of the customers that were removed.
    """

    base: ReleaseId
    result: ReleaseId
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    settings: tuple[Setting, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_settings: tuple[str, ...] = ()
    customers: tuple[Customer, ...] = ()
    removed_customers: tuple[str, ...] = ()


def _find_changed(old, new):
    return tuple(v for k, v in new.items() if old.get(k) != v)


def _find_removed(old, new):
    return tuple(k for k in old if k not in new)


def make_delta(base, target):
    """Compute the net difference between two releases.

    Parameters
    ----------
    base : Release
        Release to start from.
    target : Release
        Resulting release.

    Returns
    -------
    Delta
    """
    return Delta(
        base.release_id,
        target.release_id,
        _find_changed(base.services, target.services),
        _find_changed(base.routes, target.routes),
        _find_changed(base.settings, target.settings),
        _find_removed(base.services, target.services),
        _find_removed(base.routes, target.routes),
        _find_removed(base.settings, target.settings),
        _find_changed(base.customers, target.customers),
        _find_removed(base.customers, target.customers),
    )


def _apply_changes(old, changed, removed):
    merged = {k: v for k, v in old.items() if k not in removed}
    merged.update((value.name, value) for value in changed)
    return merged


def apply_delta(base, delta):
    """Build the resulting release of a delta from its base.

    Parameters
    ----------
    base : Release
        Release to start from.
    delta : Delta
        Changes to apply.

    Returns
    -------
    Release
        The resulting release, validated.

    Raises
    ------
    DigestMismatchError
        If ``base`` is not the base of the delta or the result does not have
        the digest given in the delta.
    DanglingReferenceError
        If a route refers to a service or setting that the result lacks.
    InvalidNoteError
        If the result contains a value that is not allowed.
    """
    if base.release_id != delta.base:
        raise DigestMismatchError(
            'the delta was made for another base release',
            held=base.release_id,
            base=delta.base,
        )
    release = Release(
        delta.result.number,
        _apply_changes(base.services, delta.services, delta.removed_services),
        _apply_changes(base.routes, delta.routes, delta.removed_routes),
        _apply_changes(base.settings, delta.settings, delta.removed_settings),
        _apply_changes(
            base.customers, delta.customers, delta.removed_customers
        ),
    )
    if release.digest != delta.result.digest:
        raise DigestMismatchError(
            'the delta does not produce the announced release',
            got=release.release_id,
            target=delta.result,
        )
    check_release(release, base)
    return release
