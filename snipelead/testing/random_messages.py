"""Random messages between processes, with values that no process sends."""

import msgspec
from msgspec import inspect

__all__ = ['RandomMessages']

EXTREME_INTEGERS = (-(2**63), -1, 7, 1_000, 2**31, 2**53, 2**63, 2**64 - 1)
EXTREME_NUMBERS = (-1.0, 1e308, float('inf'), float('nan'))
EXTREME_TEXTS = ('', ':', '127.0.0.1', 'x:y', '\0', 'x' * 1_000, 'SL9001')
USUAL_TEXTS = ('stock', 'a', 'n1', '127.0.0.1:9')
LENGTHS = (0, 1, 1, 2)
MAX_DEPTH = 4


class RandomMessages:
    """Draws encoded messages that have the fields of a type.

    The values are of the right kind, but may be out of range.

    Parameters
    ----------
    rng : random.Random
        Random generator.
    extreme_probability : float
        Probability that a value is extreme.
    """

    def __init__(self, rng, extreme_probability):
        self.rng = rng
        self.extreme_probability = extreme_probability

    def draw(self, message_type):
        """Return an encoded message.

        Parameters
        ----------
        message_type : type
            Type of the message.

        Returns
        -------
        bytes
        """
        value = self._draw(inspect.type_info(message_type), 0)
        return msgspec.msgpack.encode(value)

    def _choose(self, usual, extreme):
        is_extreme = self.rng.random() < self.extreme_probability
        return self.rng.choice(extreme if is_extreme else usual)

    def _draw(self, info, depth):  # noqa: C901
        match info:
            case inspect.IntType():
                return self._choose((0, 1, 2, 3), EXTREME_INTEGERS)
            case inspect.FloatType():
                return self._choose((0.0, 0.5, 1.0), EXTREME_NUMBERS)
            case inspect.StrType():
                return self._choose(USUAL_TEXTS, EXTREME_TEXTS)
            case inspect.BytesType():
                return self._choose((b'',), (b'x', b'\x91' * 10))
            case inspect.BoolType():
                return self.rng.random() < 0.5  # noqa: PLR2004
            case inspect.EnumType():
                return self.rng.choice(list(info.cls)).value
            case inspect.UnionType():
                return self._draw(self.rng.choice(info.types), depth)
            case inspect.VarTupleType():
                return [
                    self._draw(info.item_type, depth + 1)
                    for _ in range(self._draw_length(depth))
                ]
            case inspect.TupleType():
                return [self._draw(t, depth + 1) for t in info.item_types]
            case inspect.DictType():
                return {
                    self._draw(info.key_type, depth): self._draw(
                        info.value_type, depth + 1
                    )
                    for _ in range(self._draw_length(depth))
                }
            case inspect.StructType():
                return self._draw_struct(info, depth)
            case _:
                return None

    def _draw_length(self, depth):
        return self.rng.choice(LENGTHS) if depth < MAX_DEPTH else 0

    def _draw_struct(self, info, depth):
        values = {
            field.encode_name: self._draw(field.type, depth + 1)
            for field in info.fields
        }
        if not info.array_like:
            return values
        return [*([] if info.tag is None else [info.tag]), *values.values()]
