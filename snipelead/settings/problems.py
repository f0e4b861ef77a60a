"""Descriptions of what is wrong with a settings document."""

from difflib import get_close_matches
import re

from msgspec import inspect

from snipelead.settings.exceptions import SettingsError

__all__ = ['check_keys', 'describe_mismatch', 'describe_type']

_PATH_IN_MESSAGE = re.compile(r' - at `\$([^`]*)`$')
_PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
_MISSING_KEY = re.compile(r'missing required field `([^`]+)`')


def _join(parent, key):
    return f'{parent}.{key}' if parent else str(key)


def _unknown_key(path, key, value, allowed, name):
    close = get_close_matches(str(name), allowed, n=1)
    hint = f'; did you mean {close[0]!r}?' if close else ''
    listed = ', '.join(sorted(allowed))
    return SettingsError(
        f'{path}: unknown key {key!r} with value {value!r}{hint}'
        f' (allowed: {listed})',
        file=path,
        key=key,
        got=repr(value),
        allowed=listed,
        suggestion=close[0] if close else '',
    )


def _check_struct(path, value, info, parent):
    fields = {field.encode_name: field.type for field in info.fields}
    allowed = [*fields, info.tag_field] if info.tag_field else list(fields)
    for name, inner in value.items():
        key = _join(parent, name)
        if name not in allowed:
            raise _unknown_key(path, key, inner, allowed, name)
        if name in fields:
            _check_value(path, inner, fields[name], key)


def _check_value(path, value, info, key):
    match info, value:
        case inspect.StructType(), dict():
            _check_struct(path, value, info, key)
        case inspect.VarTupleType(), list():
            for index, item in enumerate(value):
                _check_value(path, item, info.item_type, f'{key}[{index}]')


def check_keys(path, document, settings_type):
    """Refuse unknown keys anywhere in a settings document.

    Parameters
    ----------
    path : str or Path
        File shown in the error.
    document : dict
        What the YAML file holds.
    settings_type : type
        Schema.

    Raises
    ------
    SettingsError
        Naming the key, the keys allowed and the most similar of them.
    """
    _check_struct(path, document, inspect.type_info(settings_type), '')


def describe_type(info):
    """Describe the values that a type of msgspec's inspection allows."""
    match info:
        case inspect.EnumType():
            return 'one of ' + ', '.join(repr(m.value) for m in info.cls)
        case inspect.UnionType():
            return ' or '.join(describe_type(t) for t in info.types)
        case inspect.VarTupleType():
            return 'a list'
        case inspect.StructType():
            return 'a mapping'
        case inspect.StrType():
            return 'a string'
        case inspect.IntType():
            return 'an integer'
        case inspect.FloatType():
            return 'a number'
        case inspect.BoolType():
            return 'true or false'
        case _:
            return 'null'


def _follow(document, info, steps):
    """Return value and type at the end of a path of keys and indexes."""
    for name, index in _PATH_STEP.findall(steps):
        if index:
            document, info = document[int(index)], info.item_type
            continue
        fields = {field.encode_name: field.type for field in info.fields}
        document, info = document[name], fields[name]
    return document, info


def describe_mismatch(path, document, settings_type, error):
    """Build the error for a document that msgspec refused.

    Parameters
    ----------
    path : str or Path
        File shown in the error.
    document : dict
        What the YAML file holds; its keys are all known.
    settings_type : type
        Schema.
    error : msgspec.ValidationError
        The refusal.

    Returns
    -------
    SettingsError
    """
    text = str(error)
    place = _PATH_IN_MESSAGE.search(text)
    steps = place.group(1) if place else ''
    parent = steps.removeprefix('.')
    value, info = _follow(document, inspect.type_info(settings_type), steps)
    missing = _MISSING_KEY.search(text)
    if missing:
        key = _join(parent, missing.group(1))
        return SettingsError(
            f'{path}: key {key!r} is required but missing', file=path, key=key
        )
    allowed = describe_type(info)
    return SettingsError(
        f'{path}: key {parent!r} must be {allowed}, got {value!r}',
        file=path,
        key=parent,
        got=repr(value),
        allowed=allowed,
    )
