"""Tests of the log formats."""

import json
import logging

from lacewinglug.logging import ProcessIdentity, StructuredFormatter

IDENTITY = ProcessIdentity(program="entry", host="entry-1", incarnation="abc")


def make_record(message, **extra):
    record = logging.LogRecord("x", logging.INFO, "f", 1, message, None, None)
    vars(record).update(extra)
    return record


def test_pairs_quote_values_with_blanks():
    formatter = StructuredFormatter(identity=IDENTITY, as_json=False)
    line = formatter.format(make_record("log reachable", offset=4))
    assert 'message="log reachable"' in line
    assert "host=entry-1" in line
    assert "offset=4" in line


def test_json_carries_incarnation_and_request_id():
    formatter = StructuredFormatter(identity=IDENTITY, as_json=True)
    fields = json.loads(formatter.format(make_record("x", request_id="r.1")))
    assert fields["incarnation"] == "abc"
    assert fields["request_id"] == "r.1"
