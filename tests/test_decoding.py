"""Malformed records and messages are reported, whatever their bytes."""

import logging

import msgspec
import pytest

from lacewinglug.decoding import (
    MalformedDataError,
    RecordDecoder,
    decode_json,
    decode_msgpack,
)

LEVELS = 1100
"""More than the decoder's limit of about 1,000 levels."""
NESTED_JSON = b'{"owner": "inventory", "tree": ' + b"[" * LEVELS + b"]" * LEVELS + b"}"
NESTED_MSGPACK = b"\x91" * LEVELS + b"\x00"


def append_nested_field(data):
    """Return an encoded message with one more field, which is nested too deeply."""
    fields = msgspec.msgpack.decode(data)
    return msgspec.msgpack.encode([*fields, msgspec.Raw(NESTED_MSGPACK)])


class Entry(msgspec.Struct):
    owner: str


@pytest.mark.parametrize("data", [b"", b"{", b"\xff", b"[]", NESTED_JSON])
def test_malformed_json_raises_one_exception(data):
    with pytest.raises(MalformedDataError):
        decode_json(data, kind=Entry)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", NESTED_MSGPACK])
def test_malformed_msgpack_raises_one_exception(data):
    with pytest.raises(MalformedDataError):
        decode_msgpack(data, kind=Entry)


def test_a_malformed_record_is_left_out_and_logged_once_by_its_key(caplog):
    caplog.set_level(logging.WARNING)
    decoder = RecordDecoder(
        what="runner", decode=lambda _key, data: decode_json(data, kind=Entry)
    )
    records = {"bad": b"{", "good": b'{"owner": "x"}', "deep": NESTED_JSON}
    for _ in range(2):
        assert decoder.decode_all(records) == [Entry(owner="x")]
    assert [item.args[1] for item in caplog.records] == ["bad", "deep"]
    decoder.decode_all({})
    decoder.decode_all(records)
    assert len(caplog.records) == 4


# Guards against one record that hits a fault of its decoder hiding all the others.
def test_an_unexpected_error_leaves_only_its_record_out(caplog):
    def decode(key, data):
        return 1 // len(data)

    decoder = RecordDecoder(what="runner", decode=decode)
    assert decoder.decode_all({"bad": b"", "good": b"1"}) == [1]
    assert caplog.records[0].exc_info is not None
