"""Errors for settings documents that do not match the schema."""

from difflib import get_close_matches
import re

from msgspec import inspect

from snipelead.settings.exceptions import SettingsError

__all__ = ['check_keys', 'describe_type', 'make_conversion_error']

_KEY_PATH_PATTERN = re.compile(r' - at `\$([^`]*)`$')
_KEY_PATH_STEP_PATTERN = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
_MISSING_KEY_PATTERN = re.compile(r'missing required field `([^`]+)`')


def _join_keys(parent, key):
    return f'{parent}.{key}' if parent else str(key)


def _make_unknown_key_error(path, key, value, allowed, name):
    similar = get_close_matches(str(name), allowed, n=1)
    hint = f'; did you mean {similar[0]!r}?' if similar else ''
    allowed_keys = ', '.join(sorted(allowed))
    return SettingsError(
        f'{path}: unknown key {key!r} with value {value!r}{hint}'
        f' (allowed: {allowed_keys})',
        file=path,
        key=key,
        got=repr(value),
        allowed=allowed_keys,
        suggestion=similar[0] if similar else '',
    )


def _check_struct_keys(path, value, type_info, parent):
    fields = {field.encode_name: field.type for field in type_info.fields}
    allowed = (
        [*fields, type_info.tag_field] if type_info.tag_field else list(fields)
    )
    for name, field_value in value.items():
        key = _join_keys(parent, name)
        if name not in allowed:
            raise _make_unknown_key_error(
                path, key, field_value, allowed, name
            )
        if name in fields:
            _check_nested_keys(path, field_value, fields[name], key)


def _check_nested_keys(path, value, type_info, key):
    match type_info, value:
        case inspect.StructType(), dict():
            _check_struct_keys(path, value, type_info, key)
        case inspect.VarTupleType(), list():
            for index, item in enumerate(value):
                _check_nested_keys(
                    path, item, type_info.item_type, f'{key}[{index}]'
                )


def check_keys(path, document, settings_type):
    """Reject unknown keys at any level of a settings document.

    Parameters
    ----------
    path : str or Path
        File named in the error message.
    document : dict
        Content of the YAML file.
    settings_type : type
        Type whose schema applies.

    Raises
    ------
    SettingsError
        If a key is unknown; names the key, the allowed keys and the most
        similar of them.
    """
    _check_struct_keys(path, document, inspect.type_info(settings_type), '')


def describe_type(type_info):
    """Describe the values that a type allows.

    Parameters
    ----------
    type_info : msgspec.inspect.Type
        Type as returned by :func:`msgspec.inspect.type_info`.

    Returns
    -------
    str
    """
    match type_info:
        case inspect.EnumType():
            return 'one of ' + ', '.join(repr(m.value) for m in type_info.cls)
        case inspect.UnionType():
            return ' or '.join(describe_type(t) for t in type_info.types)
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


def _resolve_key_path(document, type_info, key_path):
    """Return the value and type at a path of keys and indexes."""
    for name, index in _KEY_PATH_STEP_PATTERN.findall(key_path):
        if index:
            document, type_info = document[int(index)], type_info.item_type
            continue
        fields = {field.encode_name: field.type for field in type_info.fields}
        document, type_info = document[name], fields[name]
    return document, type_info


def make_conversion_error(path, document, settings_type, error):
    """Build the error for a document that msgspec cannot convert.

    Parameters
    ----------
    path : str or Path
        File named in the error message.
    document : dict
        Content of the YAML file, without unknown keys.
    settings_type : type
        Type whose schema applies.
    error : msgspec.ValidationError
        Error raised by msgspec.

    Returns
    -------
    SettingsError
    """
    text = str(error)
    path_match = _KEY_PATH_PATTERN.search(text)
    key_path = path_match.group(1) if path_match else ''
    parent = key_path.removeprefix('.')
    value, type_info = _resolve_key_path(
        document, inspect.type_info(settings_type), key_path
    )
    missing_match = _MISSING_KEY_PATTERN.search(text)
    if missing_match:
        key = _join_keys(parent, missing_match.group(1))
        return SettingsError(
            f'{path}: key {key!r} is required but missing', file=path, key=key
        )
    allowed = describe_type(type_info)
    return SettingsError(
        f'{path}: key {parent!r} must be {allowed}, got {value!r}',
        file=path,
        key=parent,
        got=repr(value),
        allowed=allowed,
    )
