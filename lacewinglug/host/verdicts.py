"""What the response of a runner means for the request that it was sent."""

from enum import Enum

from lacewinglug.host.model import ResponseMetadata

_SUCCESS_STATUSES = range(200, 300)
_MIN_SERVER_ERROR = 500
_MISDIRECTED = 421


class Verdict(Enum):
    """Meaning of a runner's complete response.

    ``NOT_EXECUTED``: the runner did not run the request. ``UNVERIFIED``: it claims a
    success that is not as the runner produced it, so the request may have run.
    ``SUCCESS``: the answer. ``FINAL``: another answer that a repetition would not
    change. ``SERVER_ERROR``: the request may have run, and another runner may succeed.
    """

    NOT_EXECUTED = "not executed"
    UNVERIFIED = "unverified"
    SUCCESS = "success"
    FINAL = "final"
    SERVER_ERROR = "server error"


def judge_response(status: int, metadata: ResponseMetadata) -> Verdict:
    """Return what a final response means; the same for calls and for streams.

    :param status: status code, at least 200.
    :param metadata: what the headers of the response say.
    """
    if metadata.not_executed or status == _MISDIRECTED:
        return Verdict.NOT_EXECUTED
    if status in _SUCCESS_STATUSES:
        verified = metadata.signed and not metadata.content_encoded
        return Verdict.SUCCESS if verified else Verdict.UNVERIFIED
    if status >= _MIN_SERVER_ERROR:
        return Verdict.SERVER_ERROR
    return Verdict.FINAL
