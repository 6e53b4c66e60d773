"""Keys of calls that may run at most once."""

import hashlib
import hmac
import re
import uuid
from dataclasses import dataclass, field
from typing import Self

from lacewinglug.ids import MintedId

_TAG_LENGTH = 16
_MINTED_FORM = re.compile(
    r"[a-z0-9][a-z0-9-]{0,62}\.[0-9a-f]{12}\.[0-9]{1,18}\.[0-9a-f]{16}"
)
_DIGEST_BYTES = 16
_UUID_WITH_TIME = 7
_MAX_KEY_LENGTH = 255
_BITS_PER_BYTE = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class MintedKey:
    """A key minted by an entry process.

    :param owner: the process that minted it, and its place among that run's keys.
    :param tag: proves that the owner minted the key, and for which organisation.
    """

    owner: MintedId
    tag: str

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Read a key, or return None when no entry mints keys of this form."""
        if _MINTED_FORM.fullmatch(text) is None:
            return None
        prefix, _, tag = text.rpartition(".")
        owner = MintedId.parse(prefix)
        return cls(owner=owner, tag=tag) if owner is not None else None


def is_valid_key(text: str) -> bool:
    """Return whether a text can be a caller's own key."""
    return 0 < len(text) <= _MAX_KEY_LENGTH and text.isascii() and text.isprintable()


def resembles_minted(text: str) -> bool:
    """Return whether a text starts like a minted key, such as one cut short."""
    prefix = ".".join(text.split(".")[:3])
    return MintedId.parse(prefix) is not None


def own_key_id(*, organisation: str, service: str, key: str) -> str:
    """Return the id of a caller's own key, apart for each organisation and service."""
    return _digest("own", organisation, service, key)


def call_fingerprint(*, organisation: str, service: str, kind: str, body: bytes) -> str:
    """Return a digest that differs between calls which are not repeats."""
    return _digest("call", organisation, service, kind, body)


def _digest(*parts: str | bytes) -> str:
    """Return the digest of a sequence of texts."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def key_time_s(key: str) -> float | None:
    """Return the time inside a UUID of version 7, in seconds since the Unix epoch."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_WITH_TIME:
        return None
    return (parsed.int >> 80) / 1000.0


@dataclass(kw_only=True)
class KeyMinter:
    """Mints the keys of one run of an entry, and knows which of them were used.

    Keys older than the last ``window`` ones are no longer told apart.

    :param host: name of the host.
    :param incarnation: name of this run of the process.
    :param secret: random bytes of this run, which make keys impossible to guess.
    :param window: number of keys whose use is remembered.
    """

    host: str
    incarnation: str
    secret: bytes
    window: int
    last_sequence: int = 0
    _spent: bytearray = field(init=False)

    def __post_init__(self) -> None:
        self._spent = bytearray(self.window // _BITS_PER_BYTE + 1)

    def mint(self, organisation: str) -> str:
        """Return a new key, which only this process may run."""
        self.last_sequence += 1
        byte, mask = self._place(self.last_sequence)
        self._spent[byte] &= ~mask
        prefix = f"{self.host}.{self.incarnation}.{self.last_sequence}"
        return f"{prefix}.{self._tag(prefix, organisation)}"

    def owns(self, key: MintedKey) -> bool:
        """Return whether a key names this run of the process."""
        owner = key.owner
        return owner.host == self.host and owner.incarnation == self.incarnation

    def is_genuine(self, key: MintedKey, organisation: str) -> bool:
        """Return whether this process minted a key for an organisation."""
        owner = key.owner
        prefix = f"{owner.host}.{owner.incarnation}.{owner.sequence}"
        expected = self._tag(prefix, organisation)
        return 0 < owner.sequence <= self.last_sequence and hmac.compare_digest(
            expected.encode(), key.tag.encode()
        )

    def is_spent(self, key: MintedKey) -> bool:
        """Return whether a key was used, or is too old to tell."""
        sequence = key.owner.sequence
        if sequence <= self.last_sequence - self.window:
            return True
        byte, mask = self._place(sequence)
        return bool(self._spent[byte] & mask)

    def spend(self, key: MintedKey) -> None:
        """Note that a key is used."""
        byte, mask = self._place(key.owner.sequence)
        self._spent[byte] |= mask

    def _place(self, sequence: int) -> tuple[int, int]:
        """Return the byte and the bit mask of a key."""
        byte, bit = divmod(sequence % self.window, _BITS_PER_BYTE)
        return byte, 1 << bit

    def _tag(self, prefix: str, organisation: str) -> str:
        message = f"{prefix}/{organisation}".encode()
        digest = hmac.new(self.secret, message, hashlib.sha256)
        return digest.hexdigest()[:_TAG_LENGTH]
