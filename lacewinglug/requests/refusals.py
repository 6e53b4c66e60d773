"""Failures of keyed calls."""

from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown

_MINT_KEY_REMEDY = "mint a key at POST /v1/keys and call with it"
_QUERY_SERVICE_REMEDY = (
    "ask the service for the state before calling again with a new key"
)
_RETRY_AFTER_S = 1.0


def unrecognised_key() -> NotRun:
    """Return the refusal of a key that its purported owner did not mint."""
    return NotRun(
        reason="the key was not minted by this system for this organisation",
        remedy=_MINT_KEY_REMEDY,
        retry_after_s=0.0,
        status=400,
        repeat_with="new_key",
    )


def malformed_key() -> NotRun:
    """Return the refusal of a string that is not a valid key."""
    return NotRun(
        reason="the key is not 1 to 255 printable ASCII characters",
        remedy=f"correct the Idempotency-Key header, or {_MINT_KEY_REMEDY}",
        retry_after_s=0.0,
        status=400,
        repeat_with="new_key",
    )


def key_reused_for_different_call() -> NotRun:
    """Return the refusal of a key that was already used for a different call."""
    return NotRun(
        reason="the key was used for a call with another service, kind or body",
        remedy="send this call with a key of its own",
        retry_after_s=0.0,
        status=422,
        repeat_with="new_key",
    )


def claim_log_unavailable(reason: str) -> NotRun:
    """Return the refusal of a caller-supplied key that cannot be claimed in the log.

    :param reason: why the log is not available.
    """
    return NotRun(
        reason="this copy of the call was not sent, as a caller's own key needs "
        f"the platform's log: {reason}",
        remedy=f"{_MINT_KEY_REMEDY}, or, when a copy was sent before, repeat with "
        "the same key after the retry time",
        repeat_with="same_key",
    )


def too_many_keys() -> NotRun:
    """Return the refusal of a caller-supplied key when the key index is full."""
    return NotRun(
        reason="the entry remembers as many callers' own keys as it can",
        remedy=_MINT_KEY_REMEDY,
        retry_after_s=60.0,
        repeat_with="same_key",
    )


def key_history_unreadable(reason: str) -> OutcomeUnknown:
    """Return the failure when the log of earlier uses of a key cannot be read.

    :param reason: why the log cannot be read.
    """
    return OutcomeUnknown(
        reason="this copy was not sent, but earlier uses of the key cannot be "
        f"read from the platform's log: {reason}",
        remedy="repeat with the same key after the retry time; for a call never "
        f"sent before, {_MINT_KEY_REMEDY}",
        retry_after_s=_RETRY_AFTER_S,
        repeat_with="same_key",
    )


def result_expired() -> OutcomeUnknown:
    """Return the failure of a key whose result is no longer kept."""
    return OutcomeUnknown(
        reason="the key was used, or is too old to tell; its result is not kept",
        remedy=_QUERY_SERVICE_REMEDY,
    )


def owner_gone(host: str) -> OutcomeUnknown:
    """Return the failure of a key whose owner ended without archiving a result."""
    return OutcomeUnknown(
        reason=f"the entry on {host} that alone could run this key has ended, and "
        "left no record of the result",
        remedy=_QUERY_SERVICE_REMEDY,
    )


def owner_unreachable(host: str, reason: str) -> OutcomeUnknown:
    """Return the failure of a key whose owner cannot be reached."""
    return OutcomeUnknown(
        reason=f"the entry on {host} that holds this key does not answer: {reason}",
        remedy="repeat with the same key after the retry time",
        retry_after_s=_RETRY_AFTER_S,
        repeat_with="same_key",
    )


def internal_error() -> OutcomeUnknown:
    """Return the failure of a call that an exception in the entry host ended."""
    return OutcomeUnknown(
        reason="a fault of the entry ended the call; see its log",
        remedy=_QUERY_SERVICE_REMEDY,
    )
