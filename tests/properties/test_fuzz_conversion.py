"""Fuzz tests of operator messages, records and settings: a value or a clear error."""

import json
import tempfile
from pathlib import Path
from typing import Any, get_type_hints
from unittest import TestCase

from google.protobuf.message import DecodeError
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from poplarlug.catalog.catalog import decode_object, encode_object
from poplarlug.catalog.objects import OBJECT_TYPES_BY_KIND, Account
from poplarlug.control.conversion import from_message, to_message
from poplarlug.schema import operators_pb2 as pb
from poplarlug.settings import SettingsError, check_settings, load_settings
from poplarlug.topology import Topology

LIMIT = 2**63 - 1
MAX_MESSAGE_CHARACTERS = 2000
texts = st.text(max_size=20)
arbitrary_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4)
    ),
    max_leaves=12,
)
field_names = st.sampled_from(["deployment", "entries", "control", "name", "http"])
arbitrary_trees = st.recursive(
    arbitrary_values,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(field_names, inner, max_size=5)
    ),
    max_leaves=12,
)


def objects(kind: str) -> st.SearchStrategy[Any]:
    """Return a strategy that generates valid objects of ``kind``."""
    object_type = OBJECT_TYPES_BY_KIND[kind]
    strategies: dict[str, st.SearchStrategy[Any]] = {}
    for field, hint in get_type_hints(object_type).items():
        if hint is int:
            strategies[field] = st.integers(-LIMIT, LIMIT)
        elif hint is float:
            strategies[field] = st.floats(allow_nan=False)
        elif hint is str:
            strategies[field] = texts
        else:
            strategies[field] = st.from_type(hint)
    return st.builds(object_type, **strategies)


valid_objects = st.sampled_from(sorted(OBJECT_TYPES_BY_KIND)).flatmap(
    lambda kind: st.tuples(st.just(kind), objects(kind))
)


class ConversionFuzzTests(TestCase):
    @settings(max_examples=300, deadline=None)
    @given(valid_objects, st.integers(0, LIMIT))
    def test_objects_survive_the_wire(self, held: Any, version: int) -> None:
        """Objects survive a round trip through messages and through records."""
        kind, value = held
        message = pb.CatalogObject()
        message.ParseFromString(to_message(kind, value, version).SerializeToString())
        self.assertEqual(from_message(message), (kind, value))
        self.assertEqual(message.version, version)
        self.assertEqual(decode_object(kind, encode_object(value)), Success(value))

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_messages_convert_or_are_refused(self, data: bytes) -> None:
        """Any message that protobuf parses converts to an object or to ``None``."""
        message = pb.ChangeRequest()
        try:
            message.ParseFromString(data)
        except DecodeError:
            return
        parsed = from_message(message.object)
        self.assertTrue(parsed is None or parsed[0] in OBJECT_TYPES_BY_KIND)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(OBJECT_TYPES_BY_KIND)), st.binary(max_size=100))
    def test_arbitrary_records_decode_or_are_refused(
        self, kind: Any, data: bytes
    ) -> None:
        """The error for a damaged record names the expected kind."""
        decoded = decode_object(kind, data)
        if isinstance(decoded, Failure):
            self.assertIn(kind, decoded.failure())

    def test_a_profile_out_of_its_values_is_refused(self) -> None:
        """Decoding refuses a field value outside its allowed values."""
        account = Account("a", "r", ("r",))._replace(profile="odd")  # type: ignore
        self.assertIsInstance(decode_object("account", encode_object(account)), Failure)


class SettingsFuzzTests(TestCase):
    @settings(max_examples=200, deadline=None)
    @given(arbitrary_trees)
    def test_arbitrary_trees_are_refused_with_paths(self, tree: Any) -> None:
        """Each error has a path that starts at the root and a message of bounded length."""
        checked = check_settings(tree, Topology)
        assert isinstance(checked, Failure)
        errors = checked.failure()
        self.assertTrue(errors)
        for error in errors:
            self.assertIsInstance(error, SettingsError)
            self.assertTrue(error.path.startswith("$"))
            self.assertLess(len(error.message), MAX_MESSAGE_CHARACTERS)

    @settings(max_examples=100, deadline=None)
    @given(
        st.binary(max_size=60) | arbitrary_trees.map(lambda t: json.dumps(t).encode())
    )
    def test_arbitrary_files_are_refused(self, data: bytes) -> None:
        """A file that isn't a topology yields errors instead of an exception."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "topology.jsonc"
            path.write_bytes(data)
            self.assertIsInstance(load_settings(path, Topology), Failure)
