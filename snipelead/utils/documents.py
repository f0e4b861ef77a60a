"""Strict parsing of YAML documents."""

from collections.abc import Hashable

import yaml

from snipelead.utils.exceptions import DocumentError

__all__ = ['parse_yaml']

# Beginnings of messages in which text of the document follows. An API key
# without quotes that begins with *, & or ! is such a text.
_PROBLEMS_WITH_TEXT = (
    'found undefined alias',
    'found duplicate anchor',
    'found undefined tag handle',
    'could not determine a constructor for the tag',
)


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""

    def construct_mapping(self, node, deep=False):
        seen_keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, Hashable):
                continue
            if key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    problem=f'key {key!r} is given twice',
                    problem_mark=key_node.start_mark,
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep=deep)


def parse_yaml(text):
    """Parse one YAML document.

    Parameters
    ----------
    text : str or bytes
        The document; bytes must be encoded as UTF-8 or UTF-16.

    Returns
    -------
    object
        Dictionaries, lists and scalar values.

    Raises
    ------
    DocumentError
        If the text is not exactly one valid YAML document, or contains a
        duplicate key or an invalid value, or is nested too deeply.
    """
    try:
        return yaml.load(text, _UniqueKeyLoader)
    except RecursionError as error:
        raise DocumentError('the document is nested too deeply') from error
    except (yaml.YAMLError, ValueError) as error:
        _remove_text(error)
        raise DocumentError(str(error)) from error


def _remove_text(error):
    """Remove the text of the document from an error, as it may hold keys."""
    for name in ('context_mark', 'problem_mark'):
        mark = getattr(error, name, None)
        if mark is not None:
            mark.buffer = None
    for name in ('context', 'problem'):
        message = getattr(error, name, None) or ''
        for beginning in _PROBLEMS_WITH_TEXT:
            if message.startswith(beginning):
                setattr(error, name, beginning)
