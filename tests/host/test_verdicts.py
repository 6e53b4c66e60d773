"""One table says what the response of a runner means, for calls and for streams."""

import pytest

from lacewinglug.host.verdicts import Verdict, judge_response
from lacewinglug.platform.headers import decode_response_headers

SIGNED = (b"X-Lacewinglug-Response-Signature", b"i-1")
ENCODED = (b"Content-Encoding", b"gzip")
NOT_EXECUTED = (b"X-Lacewinglug-Not-Executed", b"1")


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, [SIGNED], Verdict.SUCCESS),
        (206, [SIGNED], Verdict.SUCCESS),
        (299, [SIGNED], Verdict.SUCCESS),
        (200, [], Verdict.UNVERIFIED),
        (201, [], Verdict.UNVERIFIED),
        (206, [], Verdict.UNVERIFIED),
        (299, [], Verdict.UNVERIFIED),
        (200, [SIGNED, ENCODED], Verdict.UNVERIFIED),
        (206, [SIGNED, ENCODED], Verdict.UNVERIFIED),
        (200, [SIGNED, NOT_EXECUTED], Verdict.NOT_EXECUTED),
        (300, [], Verdict.FINAL),
        (304, [SIGNED], Verdict.FINAL),
        (400, [SIGNED], Verdict.FINAL),
        (400, [NOT_EXECUTED], Verdict.NOT_EXECUTED),
        (404, [], Verdict.FINAL),
        (421, [], Verdict.NOT_EXECUTED),
        (421, [SIGNED], Verdict.NOT_EXECUTED),
        (429, [NOT_EXECUTED], Verdict.NOT_EXECUTED),
        (500, [SIGNED], Verdict.SERVER_ERROR),
        (500, [ENCODED], Verdict.SERVER_ERROR),
        (503, [], Verdict.SERVER_ERROR),
        (503, [SIGNED], Verdict.SERVER_ERROR),
        (503, [NOT_EXECUTED], Verdict.NOT_EXECUTED),
        (504, [SIGNED], Verdict.SERVER_ERROR),
        (599, [], Verdict.SERVER_ERROR),
    ],
)
def test_verdict_of_a_response(status, headers, verdict):
    assert judge_response(status, decode_response_headers(tuple(headers))) is verdict
