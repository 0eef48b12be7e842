"""Decoding of bytes that other processes have sent or stored; whatever they are, the only error is MalformedError."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from vaneturn_core.faults import Fault, describe_decode_error

MAX_FAULT_CHARACTERS: Final = 300  # the decoder repeats invalid values of any length
MAX_UNSIGNED: Final = 2**64 - 1  # the largest number that can be encoded again

T = TypeVar("T")


class MalformedError(ValueError):
    """Bytes that are not a valid document of the expected type."""

    def __init__(self, fault: Fault) -> None:
        """Create the error.

        :param fault: what was expected and where.
        """
        super().__init__(str(fault))
        self.fault = fault


def decode_json(data: bytes | str, type_: type[T]) -> T:
    """Decode a JSON document.

    :raises MalformedError: it is no document of this type.
    """
    return decode_with(msgspec.json.Decoder(type_), data)


def decode_msgpack(data: bytes, type_: type[T]) -> T:
    """Decode a MessagePack document.

    :raises MalformedError: it is no document of this type.
    """
    return decode_with(msgspec.msgpack.Decoder(type_), data)


def decode_with(decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T], data: bytes | str) -> T:
    """Decode a document with a prepared decoder.

    :raises MalformedError: it is no document of the decoder's type.
    """
    try:
        return decoder.decode(data)  # type: ignore[arg-type] # a decoder of MessagePack gets bytes
    except msgspec.DecodeError as error:
        fault = describe_decode_error(error)
    except RecursionError:
        fault = Fault("$", "nested too deeply")
    except (ValueError, OverflowError) as error:
        fault = Fault("$", str(error))
    raise MalformedError(Fault(fault.path[:MAX_FAULT_CHARACTERS], fault.expected[:MAX_FAULT_CHARACTERS]))


def require_unsigned(*numbers: int) -> None:
    """Require that whole numbers can be encoded again, which the type of a field does not express.

    :raises MalformedError: one is negative or has more than 64 bits.
    """
    if not all(0 <= number <= MAX_UNSIGNED for number in numbers):
        raise MalformedError(Fault("$", "whole numbers of at most 64 bits"))


__all__ = ["MAX_UNSIGNED", "MalformedError", "decode_json", "decode_msgpack", "decode_with", "require_unsigned"]
