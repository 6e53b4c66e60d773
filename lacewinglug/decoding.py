"""Decoding of records and messages that other programs have written.

Their bytes may be anything. Each error of the decoder is turned into one exception, so
that callers can leave a malformed item out and keep the others.
"""

import ipaddress
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

logger = logging.getLogger(__name__)

T = TypeVar("T")

_DECODER_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class MalformedDataError(Exception):
    """Data cannot be decoded; the message says why."""


def decode_json(data: bytes, *, kind: type[T]) -> T:
    """Decode JSON data and validate its type.

    :raises MalformedDataError: the data is malformed, of another type, or nested too
        deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _DECODER_ERRORS as error:
        raise MalformedDataError(str(error)) from None


def decode_msgpack(data: bytes, *, kind: type[T]) -> T:
    """Decode MessagePack data and validate its type.

    :raises MalformedDataError: the data is malformed, of another type, or nested too
        deeply.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _DECODER_ERRORS as error:
        raise MalformedDataError(str(error)) from None


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address; host names are none."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


@dataclass(kw_only=True)
class RecordDecoder(Generic[T]):
    """Decodes the records of a topic one by one and leaves malformed ones out.

    :param what: kind of the records, for log lines.
    :param decode: decodes a record, given its key and its data.
    """

    what: str
    decode: Callable[[str, bytes], T]
    _malformed: frozenset[str] = field(default=frozenset())

    def decode_all(self, records: Mapping[str, bytes]) -> list[T]:
        """Return the decoded records; log each malformed one once by its key."""
        decoded = []
        malformed = set()
        for key, data in records.items():
            try:
                decoded.append(self.decode(key, data))
            except Exception as error:
                malformed.add(key)
                if key not in self._malformed:
                    self._log_malformed(key, error)
        self._malformed = frozenset(malformed)
        return decoded

    def _log_malformed(self, key: str, error: Exception) -> None:
        expected = isinstance(error, MalformedDataError)
        logger.warning(
            "ignoring malformed %s record %r: %s",
            self.what,
            key[:80],
            error,
            exc_info=None if expected else error,
        )
