"""Tests of decoding, filtering and adding the platform's headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.model import ForwardingFields, PromptPart
from lacewinglug.platform.headers import (
    ConflictingHeadersError,
    decode_request,
    decode_response_headers,
    encode_request_headers,
    encode_response_headers,
)
from lacewinglug.wire.messages import Request

INTERNAL_HEADERS = [
    b"X-Lacewinglug-Expect-Instance",
    b"X-Lacewinglug-Expect-Version",
    b"X-Lacewinglug-Kv-Backup",
    b"X-Lacewinglug-Kv-Hold",
    b"X-Lacewinglug-Kv-Source",
    b"X-Lacewinglug-Pin-Ms",
    b"X-Lacewinglug-Request-Priority",
    b"X-Lacewinglug-Stage",
    b"Kv-Fetch",
    b"Server-Leaving",
    b"X-Lacewinglug-Server-Leaving",
]


def make_request(*headers, target=b"/a/b?c=d"):
    return Request(
        method=b"POST", target=target, headers=((b"Host", b"A.example:80"), *headers)
    )


def test_decode_request_with_prompt():
    facts = decode_request(
        make_request(
            (b"X-Lacewinglug-Request-Id", b"9c41"),
            (b"X-Lacewinglug-Deadline-Ms", b"5000"),
            (b"X-Lacewinglug-Model", b"m"),
            (b"X-Lacewinglug-Token-Count", b"1460,80"),
            (b"X-Lacewinglug-Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
            (b"Last-Event-Id", b"12"),
        )
    )
    assert (facts.request_id, facts.host, facts.path) == ("9c41", "a.example", "/a/b")
    assert (facts.deadline_s, facts.last_event) == (5.0, 12)
    assert (facts.prompt.prompt_tokens, facts.prompt.max_output_tokens) == (1460, 80)
    assert facts.prompt.parts[1] == PromptPart(part_id="91bd", tokens=410)


@given(value=st.binary(max_size=30))
def test_decode_request_accepts_any_header_value(value):
    for name in (
        b"X-Lacewinglug-Deadline-Ms",
        b"X-Lacewinglug-Token-Count",
        b"X-Lacewinglug-Prompt-Prefix",
        b"X-Lacewinglug-Request-Id",
    ):
        facts = decode_request(
            make_request((b"X-Lacewinglug-Model", b"m"), (name, value))
        )
        assert facts.host == "a.example"


# Regression test: such numbers failed to decode, or later in arithmetic, so that the
# request got no answer; the announcement of such work to other hosts ended the process.
@pytest.mark.parametrize("digits", [16, 400, 5000])
def test_numbers_of_any_length_are_decoded(digits):
    number = b"9" * digits
    facts = decode_request(
        make_request(
            (b"X-Lacewinglug-Deadline-Ms", number),
            (b"X-Lacewinglug-Model", b"m"),
            (b"X-Lacewinglug-Token-Count", number + b"," + number),
            (b"X-Lacewinglug-Prompt-Prefix", b"a:" + number + b",b:0" + number),
            (b"Last-Event-Id", number),
        )
    )
    assert facts.deadline_s > 1e9
    assert facts.last_event >= 10**15
    tokens = facts.prompt.prompt_tokens
    assert facts.prompt.max_output_tokens == tokens
    assert [part.tokens for part in facts.prompt.parts] == [tokens, tokens]
    assert tokens > 10**9
    assert tokens**2 < 2**63
    load = decode_response_headers(
        ((b"X-Lacewinglug-Server-Load", b"%s,-%s,6,%s" % (number, number, number)),)
    ).load
    assert load is None or load.running + load.queued + load.slowdown < 1e16


def test_conflicting_request_ids_are_rejected():
    name = b"X-Lacewinglug-Request-Id"
    with pytest.raises(ConflictingHeadersError, match="send one"):
        decode_request(make_request((name, b"a"), (name, b"b")))
    assert decode_request(make_request((name, b"a"), (name, b"a"))).request_id == "a"


@pytest.mark.parametrize("name", INTERNAL_HEADERS)
def test_internal_headers_from_clients_are_removed(name):
    for spelled in (name, name.lower(), name.upper()):
        request = make_request((spelled, b"forged"))
        headers = encode_request_headers(
            request, ForwardingFields(instance="i-1", deadline_s=None)
        )
        assert b"forged" not in [value for _, value in headers]


def test_headers_added_to_forwarded_requests():
    call = ForwardingFields(
        instance="i-1",
        deadline_s=0.25,
        priority=3,
        prefill_only=True,
        cache_source="10.0.0.1:80/h",
        fetch_from="10.0.0.2:80",
        last_event=7,
    )
    request = make_request(
        (b"X-Lacewinglug-Deadline-Ms", b"5000"), (b"Last-Event-Id", b"2")
    )
    headers = dict(encode_request_headers(request, call))
    assert headers == {
        b"Host": b"A.example:80",
        b"X-Lacewinglug-Expect-Instance": b"i-1",
        b"X-Lacewinglug-Deadline-Ms": b"250",
        b"X-Lacewinglug-Request-Priority": b"3",
        b"X-Lacewinglug-Stage": b"prefill",
        b"X-Lacewinglug-Kv-Source": b"10.0.0.1:80/h",
        b"Kv-Fetch": b"10.0.0.2:80",
        b"Last-Event-Id": b"7",
    }


def test_connection_header_does_not_remove_the_request_id():
    name = b"X-Lacewinglug-Request-Id"
    request = make_request((name, b"a"), (b"Connection", name))
    headers = encode_request_headers(
        request, ForwardingFields(instance="i-1", deadline_s=None)
    )
    assert (name, b"a") in headers


def test_internal_headers_of_responses_are_decoded_and_removed():
    headers = (
        (b"X-Lacewinglug-Request-Id", b"9c41"),
        (b"X-Lacewinglug-Response-Signature", b"s"),
        (b"X-Lacewinglug-Server-Load", b"3,1,8,250"),
        (b"X-Lacewinglug-Not-Executed", b"1"),
        (b"Server-Leaving", b"1"),
        (b"X-Lacewinglug-Server-Leaving", b"1"),
        (b"X-Lacewinglug-Weight-Versions", b"1"),
        (b"Transfer-Encoding", b"chunked"),
    )
    facts = decode_response_headers(headers)
    assert (facts.request_id, facts.signed, facts.not_executed) == ("9c41", True, True)
    assert (facts.load.running, facts.load.queued, facts.load.slowdown) == (3, 1, 2.5)
    assert encode_response_headers(headers) == (headers[0], headers[1], headers[6])


@pytest.mark.parametrize("load", [b"", b"3", b"a,b,c", b"3,1,8,x"])
def test_invalid_load_header_is_ignored(load):
    assert decode_response_headers(((b"X-Lacewinglug-Server-Load", load),)).load is None


@pytest.mark.parametrize("name", [b"Server-Leaving", b"x-lacewinglug-server-leaving"])
@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0", b"1"], True),
        ([b"0, 1"], True),
        ([b"0"], False),
        ([b""], False),
        ([b"11"], False),
        ([b"yes"], False),
        ([b"\xff"], False),
        ([], False),
    ],
)
def test_a_runner_leaves_if_one_value_says_so(name, values, leaving):
    headers = tuple((name, value) for value in values)
    assert decode_response_headers(headers).leaving is leaving


DATE = b"Sun, 06 Nov 1994 08:49:37 GMT"


@pytest.mark.parametrize(
    ("values", "delay_s"),
    [
        ([b"3"], 3.0),
        ([b" 0.25 "], 0.25),
        ([b"3."], 3.0),
        ([b"0"], 0.0),
        ([b"9" * 400], float("inf")),
        ([b"2", b"5"], 5.0),
        ([b"2, 5"], 5.0),
        ([b"soon", b"4"], 4.0),
        ([b"2, soon"], None),
        ([b"-1"], None),
        ([b"+1"], None),
        ([b"1e3"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b".5"], None),
        ([b""], None),
        ([b"\xb2"], None),
        ([b"Sun, 06 Nov 1994 08:49:57 GMT"], 20.0),
        ([b"Sun, 06 Nov 1994 08:49:07 GMT"], 0.0),
        ([b"Sun, 06 Nov 1994 08:49:57 +0000"], None),
        ([b"Sun, 99 Nov 1994 08:49:57 GMT"], None),
        ([], None),
    ],
)
def test_retry_after_is_the_longest_valid_delay(values, delay_s):
    headers = ((b"Date", DATE), *((b"retry-AFTER", value) for value in values))
    assert decode_response_headers(headers).retry_after_s == delay_s


@pytest.mark.parametrize("date", [b"", b"today", b"Sun, 06 Nov 1994 08:49:37"])
def test_a_date_in_retry_after_means_nothing_without_a_valid_date_header(date):
    headers = ((b"Date", date), (b"Retry-After", DATE))
    assert decode_response_headers(headers).retry_after_s is None
    assert decode_response_headers(headers[1:]).retry_after_s is None


@given(
    values=st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.from_regex(rb"[A-Z][a-z]{2}, [0-9]{1,9} [A-Za-z]{3} [0-9: ]{1,20}GMT"),
        ),
        max_size=3,
    )
)
def test_any_notice_header_is_decoded(values):
    """Guards against an exception that a runner could cause in every request."""
    for name in (b"Retry-After", b"Server-Leaving", b"Date"):
        headers = ((b"Date", DATE), *((name, value) for value in values))
        delay_s = decode_response_headers(headers).retry_after_s
        assert delay_s is None or delay_s >= 0.0
        headers = ((b"Retry-After", DATE), *((b"Date", value) for value in values))
        delay_s = decode_response_headers(headers).retry_after_s
        assert delay_s is None or delay_s >= 0.0
