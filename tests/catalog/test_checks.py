"""Tests of the validation of changes."""

import math
from unittest import TestCase

from poplarlug.catalog import (
    Account,
    Adapter,
    Catalog,
    CatalogObject,
    Change,
    ChangeStatus,
    Delta,
    Kind,
    Model,
    Placement,
    Rank,
    Region,
    Service,
    check_change,
)
from poplarlug.catalog.catalog import encode_object

KEY_HASH = "ab" * 32
VERDE = Account(
    "verde", "costa", ("costa", "austro"), ("corn",), ("slim",), ("depot",), (KEY_HASH,)
)


class CheckTests(TestCase):
    def setUp(self) -> None:
        self.catalog = Catalog()
        self.put("region", Region("costa", ("costa-a",)))
        self.put("region", Region("austro", ("austro-a",)))
        self.put("model", Model("corn"))
        self.put("adapter", Adapter("slim", "corn"))
        self.put("service", Service("depot", ("POST /bookings",)))
        self.put("rank", Rank("patient", floor_share=0.6))
        self.put("placement", Placement("costa-a/corn", "costa-a", "corn"))
        self.put("account", VERDE)

    def put(self, kind: Kind, value: CatalogObject) -> None:
        version = self.catalog.version + 1
        self.assertIsNone(self.problem(kind, value))
        self.catalog.apply(Delta(version, kind, value.name, encode_object(value)))

    def problem(self, kind: Kind, value: CatalogObject) -> str | None:
        version = self.catalog.object_version(kind, value.name)
        data = encode_object(value)
        outcome = check_change(
            self.catalog, Change("id", kind, value.name, version, data)
        )
        if outcome is not None:
            self.assertIs(outcome.status, ChangeStatus.INVALID)
        return None if outcome is None else outcome.message

    def deletion_problem(self, kind: Kind, name: str) -> str | None:
        version = self.catalog.object_version(kind, name)
        outcome = check_change(self.catalog, Change("id", kind, name, version, None))
        return None if outcome is None else outcome.message

    def test_wrong_objects_are_refused(self) -> None:
        """Objects that are invalid or conflict with others are rejected with a reason."""
        cases: list[tuple[Kind, CatalogObject, str]] = [
            ("account", VERDE._replace(home_region="sierra"), "home_region"),
            ("account", VERDE._replace(regions=("costa", "mars")), "'mars'"),
            ("account", VERDE._replace(models=("rice",)), "'rice'"),
            ("account", VERDE._replace(adapters=("fat",)), "'fat'"),
            ("account", VERDE._replace(services=("none",)), "'none'"),
            ("account", VERDE._replace(key_hashes=("short",)), "SHA-256"),
            ("account", VERDE._replace(name="thief"), "another account's"),
            ("account", VERDE._replace(models=("corn", "corn")), "twice"),
            ("adapter", Adapter("a", "rice"), "'rice'"),
            ("model", Model("m", max_tokens=0), "max_tokens"),
            ("model", Model("with space"), "name"),
            ("model", Model(""), "name"),
            ("model", Model("m" * 200), "name"),
            ("rank", Rank("r", floor_share=0.5), "floors"),
            ("rank", Rank("r", target_seconds=math.inf), "target_seconds"),
            ("rank", Rank("r", objective=math.nan), "objective"),
            ("rank", Rank("r", priority=-1), "priority"),
            ("region", Region("new", ("costa-a",)), "already"),
            ("region", Region("costa", ()), "still names zone"),
            ("placement", Placement("x", "costa-a", "corn"), "expected 'costa-a/corn'"),
            ("placement", Placement("z/corn", "z", "corn"), "no region has"),
            ("service", Service("s", ("bookings",)), "POST /bookings"),
        ]
        for kind, value, expected in cases:
            with self.subTest(kind=kind, value=value):
                self.assertIn(expected, self.problem(kind, value) or "accepted")

    def test_objects_in_use_are_not_deleted(self) -> None:
        """An object can't be deleted while others reference it."""
        for kind, name in (
            ("region", "costa"),
            ("model", "corn"),
            ("adapter", "slim"),
            ("service", "depot"),
        ):
            with self.subTest(kind=kind):
                self.assertIn("still names", self.deletion_problem(kind, name) or "")
        self.assertIsNone(self.deletion_problem("account", "verde"))
        self.assertIsNone(self.deletion_problem("rank", "patient"))

    def test_stale_version_is_a_conflict_with_the_present_one(self) -> None:
        """A change based on an older version conflicts and gets the current version."""
        change = Change("id", "account", "verde", 1, encode_object(VERDE))
        outcome = check_change(self.catalog, change)
        assert outcome is not None
        self.assertIs(outcome.status, ChangeStatus.CONFLICT)
        self.assertEqual(outcome.version, self.catalog.version)
