"""Idempotency keys of calls that may run at most once.

A key is either minted by an entry process or supplied by the caller.
"""

import hashlib
import hmac
import re
import uuid
from dataclasses import dataclass, field
from typing import Self

from lacewinglug.ids import MintedId

_TAG_HEX_DIGITS = 16
_MINTED_KEY_PATTERN = re.compile(
    r"[a-z0-9][a-z0-9-]{0,62}\.[0-9a-f]{12}\.[0-9]{1,18}\.[0-9a-f]{16}"
)
_DIGEST_BYTES = 16
_TIMESTAMP_UUID_VERSION = 7
_MAX_KEY_LENGTH = 255
_BITS_PER_BYTE = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class MintedKey:
    """A key minted by an entry process.

    :param minted_id: the process that minted the key and its sequence number there.
    :param tag: authentication tag; proves that this process minted the key for an
        organisation.
    """

    minted_id: MintedId
    tag: str

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Parse a key; return None if it does not have the form of a minted key."""
        if _MINTED_KEY_PATTERN.fullmatch(text) is None:
            return None
        prefix, _, tag = text.rpartition(".")
        minted_id = MintedId.parse(prefix)
        return cls(minted_id=minted_id, tag=tag) if minted_id is not None else None


def is_valid_supplied_key(text: str) -> bool:
    """Return whether a text is valid as a caller-supplied key."""
    return 0 < len(text) <= _MAX_KEY_LENGTH and text.isascii() and text.isprintable()


def has_minted_key_prefix(text: str) -> bool:
    """Return whether a text starts like a minted key, e.g. a truncated one."""
    prefix = ".".join(text.split(".")[:3])
    return MintedId.parse(prefix) is not None


def supplied_key_id(*, organisation: str, service: str, key: str) -> str:
    """Return the id of a caller-supplied key, scoped to organisation and service."""
    return _digest("own", organisation, service, key)


def call_fingerprint(*, organisation: str, service: str, kind: str, body: bytes) -> str:
    """Return a digest that is equal only for repeats of the same call."""
    return _digest("call", organisation, service, kind, body)


def _digest(*parts: str | bytes) -> str:
    """Return the digest of a sequence of strings, each prefixed with its length."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def uuid7_time_s(key: str) -> float | None:
    """Return the timestamp of a version 7 UUID, or None for any other key.

    :returns: seconds since the Unix epoch.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMESTAMP_UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000.0


@dataclass(kw_only=True)
class KeyMinter:
    """Mints the keys of one run of an entry and tracks which of them were used.

    Use is tracked for the last ``window_size`` keys; all older ones count as used.

    :param host: name of the host.
    :param incarnation: name of this run of the process.
    :param secret: random bytes of this run; HMAC secret of the keys' tags.
    :param window_size: number of keys whose use is tracked.
    """

    host: str
    incarnation: str
    secret: bytes
    window_size: int
    last_sequence: int = 0
    _used_bits: bytearray = field(init=False)

    def __post_init__(self) -> None:
        self._used_bits = bytearray(self.window_size // _BITS_PER_BYTE + 1)

    def mint(self, organisation: str) -> str:
        """Return a new key; only this process may run the call under it."""
        self.last_sequence += 1
        byte, mask = self._bit_position(self.last_sequence)
        self._used_bits[byte] &= ~mask
        prefix = f"{self.host}.{self.incarnation}.{self.last_sequence}"
        return f"{prefix}.{self._tag(prefix, organisation)}"

    def is_minted_here(self, key: MintedKey) -> bool:
        """Return whether a key names this run of the process as its minter."""
        minted_id = key.minted_id
        return minted_id.host == self.host and minted_id.incarnation == self.incarnation

    def is_authentic(self, key: MintedKey, organisation: str) -> bool:
        """Verify that this process minted a key for an organisation."""
        minted_id = key.minted_id
        prefix = f"{minted_id.host}.{minted_id.incarnation}.{minted_id.sequence}"
        expected = self._tag(prefix, organisation)
        return 0 < minted_id.sequence <= self.last_sequence and hmac.compare_digest(
            expected.encode(), key.tag.encode()
        )

    def is_used(self, key: MintedKey) -> bool:
        """Return whether a key was used or is older than the window."""
        sequence = key.minted_id.sequence
        if sequence <= self.last_sequence - self.window_size:
            return True
        byte, mask = self._bit_position(sequence)
        return bool(self._used_bits[byte] & mask)

    def mark_used(self, key: MintedKey) -> None:
        """Mark a key as used."""
        byte, mask = self._bit_position(key.minted_id.sequence)
        self._used_bits[byte] |= mask

    def _bit_position(self, sequence: int) -> tuple[int, int]:
        """Return the byte index and bit mask of a key in the window."""
        byte, bit = divmod(sequence % self.window_size, _BITS_PER_BYTE)
        return byte, 1 << bit

    def _tag(self, prefix: str, organisation: str) -> str:
        message = f"{prefix}/{organisation}".encode()
        digest = hmac.new(self.secret, message, hashlib.sha256)
        return digest.hexdigest()[:_TAG_HEX_DIGITS]
