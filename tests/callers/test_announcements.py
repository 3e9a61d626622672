"""Tests of parsing upstreams' announcements from HTTP bodies."""

import json
from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import given, settings, strategies as st

from poplarlug.callers.announcements import parse_announcement
from poplarlug.membership.upstreams import Announcement

VALID_ANNOUNCEMENT: dict[str, Any] = {
    "id": "e1",
    "kind": "engine",
    "address": "10.0.0.1:80",
}

_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


class ParseAnnouncementTests(TestCase):
    def test_missing_fields_have_defaults(self) -> None:
        """A minimal announcement is valid, and names no models or services."""
        announcement = parse_announcement(json.dumps(VALID_ANNOUNCEMENT).encode())
        self.assertEqual(announcement, Announcement(**VALID_ANNOUNCEMENT))

    def test_wrong_fields_are_named(self) -> None:
        """Each invalid field is rejected."""
        cases = {
            "id": "a b",
            "address": "engine.example:80",
            "models": ["x"] * 65,
            "running": -1,
            "sequence": 1 << 62,
            "cache_stored": [1] * 5000,
            "state": "gone",
        }
        for name, value in cases.items():
            with self.subTest(name=name), self.assertRaises(msgspec.ValidationError):
                parse_announcement(
                    json.dumps({**VALID_ANNOUNCEMENT, name: value}).encode()
                )

    @settings(max_examples=200, deadline=None)
    @given(st.dictionaries(st.sampled_from(Announcement._fields), _json), st.binary())
    def test_any_body_is_taken_or_refused(self, body: Any, data: bytes) -> None:
        """No body raises any exception but the documented ones."""
        for text in (json.dumps({**VALID_ANNOUNCEMENT, **body}).encode(), data):
            try:
                parse_announcement(text)
            except (msgspec.ValidationError, msgspec.DecodeError, KeyError):
                pass
