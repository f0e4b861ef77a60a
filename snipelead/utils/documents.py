"""Strict reading of YAML documents written by people."""

from collections.abc import Hashable

import yaml

from snipelead.utils.exceptions import DocumentError

__all__ = ['load_yaml']


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that refuses a key given twice."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, Hashable):
                continue
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f'key {key!r} is given twice',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def load_yaml(text):
    """Read one YAML document.

    Parameters
    ----------
    text : str or bytes
        The document; bytes are UTF-8 or UTF-16.

    Returns
    -------
    object
        Dictionaries, lists and plain values.

    Raises
    ------
    DocumentError
        If the text is not one YAML document, gives a key twice, holds a
        value that YAML cannot read, or is nested too deeply.
    """
    try:
        return yaml.load(text, _UniqueKeyLoader)
    except RecursionError as error:
        raise DocumentError('nested too deeply') from error
    except (yaml.YAMLError, ValueError) as error:
        raise DocumentError(str(error)) from error
