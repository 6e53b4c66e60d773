"""Refusals and unknown outcomes of keyed calls."""

from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown

_MINT = "mint a key at POST /v1/keys and call with it"
_ASK_SERVICE = "ask the service for the state before calling again with a new key"
_REPEAT_AFTER_S = 1.0


def foreign_key() -> NotRun:
    """Return the refusal of a key that its named owner never minted."""
    return NotRun(
        reason="the key was not minted by this system for this organisation",
        remedy=_MINT,
        retry_after_s=0.0,
        status=400,
        repeat_with="new_key",
    )


def malformed_key() -> NotRun:
    """Return the refusal of a text that cannot be a key."""
    return NotRun(
        reason="the key is not 1 to 255 printable ASCII characters",
        remedy=f"correct the Idempotency-Key header, or {_MINT}",
        retry_after_s=0.0,
        status=400,
        repeat_with="new_key",
    )


def different_call() -> NotRun:
    """Return the refusal of a key that belongs to another call."""
    return NotRun(
        reason="the key was used for a call with another service, kind or body",
        remedy="send this call with a key of its own",
        retry_after_s=0.0,
        status=422,
        repeat_with="new_key",
    )


def log_unavailable(reason: str) -> NotRun:
    """Return the refusal of a caller's own key while the log does not answer."""
    return NotRun(
        reason="this copy of the call was not sent, as a caller's own key needs "
        f"the platform's log: {reason}",
        remedy=f"{_MINT}, or, when a copy was sent before, repeat with the same "
        "key after the retry time",
        repeat_with="same_key",
    )


def too_many_keys() -> NotRun:
    """Return the refusal of an own key when no more can be remembered."""
    return NotRun(
        reason="the entry remembers as many callers' own keys as it can",
        remedy=_MINT,
        retry_after_s=60.0,
        repeat_with="same_key",
    )


def log_unread(reason: str) -> OutcomeUnknown:
    """Return the outcome when earlier uses of a key cannot be read."""
    return OutcomeUnknown(
        reason="this copy was not sent, but earlier uses of the key cannot be "
        f"read from the platform's log: {reason}",
        remedy="repeat with the same key after the retry time; for a call never "
        f"sent before, {_MINT}",
        retry_after_s=_REPEAT_AFTER_S,
        repeat_with="same_key",
    )


def result_forgotten() -> OutcomeUnknown:
    """Return the outcome of a key that was used too long ago."""
    return OutcomeUnknown(
        reason="the key was used, or is too old to tell; its result is not kept",
        remedy=_ASK_SERVICE,
    )


def owner_gone(host: str) -> OutcomeUnknown:
    """Return the outcome of a key whose owner ended without a record."""
    return OutcomeUnknown(
        reason=f"the entry on {host} that alone could run this key has ended, and "
        "left no record of the result",
        remedy=_ASK_SERVICE,
    )


def owner_unreachable(host: str, reason: str) -> OutcomeUnknown:
    """Return the outcome of a key whose owner does not answer now."""
    return OutcomeUnknown(
        reason=f"the entry on {host} that holds this key does not answer: {reason}",
        remedy="repeat with the same key after the retry time",
        retry_after_s=_REPEAT_AFTER_S,
        repeat_with="same_key",
    )


def internal_error() -> OutcomeUnknown:
    """Return the outcome of a call that ended by a fault of the entry."""
    return OutcomeUnknown(
        reason="a fault of the entry ended the call; see its log",
        remedy=_ASK_SERVICE,
    )
