"""Tests of the log client's parsers with answers of the log stand-in."""

from __future__ import annotations

import msgspec

from jackdawridge.configuration.log_client import _read_offset, _read_page
from jackdawridge.configuration.records import RawRecord
from jackdawridge.standins.log import _build_read_response
from jackdawridge.standins.log_state import Stream


class TestResponses:
    def test_page_from_stand_in_is_parsed(self) -> None:
        stream = Stream()
        for body in (b'{"a":[1]}', b'null', b'"text"'):
            stream.append(body, 0)
        stream.trim(1)
        response = msgspec.json.encode(_build_read_response(stream, 0, 10))
        page = _read_page(response).unwrap()
        assert (page.first, page.head) == (1, 3)
        assert page.records == (
            RawRecord(1, b'null'),
            RawRecord(2, b'"text"'),
        )

    def test_malformed_responses_are_errors(self) -> None:
        for content in (b'', b'[]', b'{"first":0}', b'{"offset":"1"}'):
            assert _read_page(content).is_err()
            assert _read_offset(content).is_err()
