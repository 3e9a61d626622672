"""Tests of settings files."""

from pathlib import Path
from typing import NamedTuple
from unittest import TestCase

from returns.result import Failure, Success

from poplarlug.control.main import ControlSettings
from poplarlug.entry.main import EntrySettings
from poplarlug.settings import check_settings, load_settings
from poplarlug.topology import Topology

EXAMPLES = Path(__file__).parent.parent / "examples"


class Part(NamedTuple):
    count: int


class Whole(NamedTuple):
    name: str
    parts: tuple[Part, ...] = ()


class CheckSettingsTests(TestCase):
    def test_all_errors_are_reported_with_their_paths(self) -> None:
        """Each wrong place gives an error of its own, unknown keys too."""
        tree = {"parts": [{"count": "x"}, {"count": 1, "odd": 2}, 3]}
        checked = check_settings(tree, Whole)
        assert isinstance(checked, Failure)
        paths = {error.path for error in checked.failure()}
        expected = {"$.name", "$.parts[0].count", "$.parts[1].odd", "$.parts[2]"}
        self.assertEqual(paths, expected)

    def test_defaults_fill_missing_keys(self) -> None:
        """A key with a default may be left out."""
        self.assertEqual(check_settings({"name": "a"}, Whole), Success(Whole("a")))


class ExampleSettingsTests(TestCase):
    def test_every_example_loads(self) -> None:
        """Each settings file in examples/ is free of errors."""
        files = sorted(EXAMPLES.glob("*/*.jsonc"))
        self.assertGreaterEqual(len(files), 26)
        for path in files:
            kind: type = EntrySettings
            if path.name == "topology.jsonc":
                kind = Topology
            elif path.name.startswith("control-"):
                kind = ControlSettings
            with self.subTest(path=path):
                self.assertIsInstance(load_settings(path, kind), Success)
