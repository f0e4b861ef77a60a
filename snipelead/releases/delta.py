"""Net difference between two releases."""

from msgspec import Struct

from snipelead.releases.checks import check_release
from snipelead.releases.document import Held
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import DigestMismatchError

__all__ = ['Delta', 'apply_delta', 'make_delta']


class Delta(Struct, frozen=True, omit_defaults=True, array_like=True):
    """What turns release ``base`` into release ``target``.

    Parameters
    ----------
    base, target : Held
        Identities of the two releases.
    services, routes, settings : tuple
        Values that are new or differ.
    removed_services, removed_routes, removed_settings : tuple of str
        Names that the target no longer has.
    """

    base: Held
    target: Held
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    settings: tuple[Setting, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_settings: tuple[str, ...] = ()


def _changed(old, new):
    return tuple(v for k, v in new.items() if old.get(k) != v)


def _removed(old, new):
    return tuple(k for k in old if k not in new)


def make_delta(base, target):
    """Compute the net difference between two releases."""
    return Delta(
        base.held,
        target.held,
        _changed(base.services, target.services),
        _changed(base.routes, target.routes),
        _changed(base.settings, target.settings),
        _removed(base.services, target.services),
        _removed(base.routes, target.routes),
        _removed(base.settings, target.settings),
    )


def _merge(old, changed, removed):
    merged = {k: v for k, v in old.items() if k not in removed}
    merged.update((value.name, value) for value in changed)
    return merged


def apply_delta(base, delta):
    """Build the delta's target from its base.

    Raises
    ------
    DigestMismatchError
        If ``base`` is not the delta's base or the result is not its target.
    DanglingReferenceError
        If the result is not whole.
    """
    if base.held != delta.base:
        raise DigestMismatchError(
            'the delta is for another base', held=base.held, base=delta.base
        )
    release = Release(
        delta.target.number,
        _merge(base.services, delta.services, delta.removed_services),
        _merge(base.routes, delta.routes, delta.removed_routes),
        _merge(base.settings, delta.settings, delta.removed_settings),
    )
    if release.digest != delta.target.digest:
        raise DigestMismatchError(
            'the delta does not lead to its target',
            got=release.held,
            target=delta.target,
        )
    check_release(release, base)
    return release
