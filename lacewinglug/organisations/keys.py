"""API keys: digests of them, and comparisons that take the same time for any key."""

import hashlib
import hmac


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_digest(key: str, digest: str) -> bool:
    """Return whether a key has the given digest; takes the same time for any key."""
    return hmac.compare_digest(hash_key(key), digest)


def parse_authorization(value: str, *, scheme: str) -> str:
    """Return the key of an ``Authorization`` header, empty for another scheme.

    :param scheme: authentication scheme, lower case.
    """
    found, _, key = value.strip().partition(" ")
    return key.strip() if found.lower() == scheme else ""
