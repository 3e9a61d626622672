"""Tests of home engine selection and of cache estimates for shared prompt parts."""

from typing import Any
from unittest import TestCase

from poplarlug.relay.affinity import (
    Affinity,
    HomeEngines,
    home_hit_probability,
    make_affinity,
)
from poplarlug.relay.part_cache import PART_LIFE_SECONDS, PartCache
from poplarlug.relay.requests import Prompt, PromptPart

PROMPT = Prompt(
    "m",
    1300,
    50,
    (PromptPart("a", 800), PromptPart("b", 400), PromptPart("own", 100)),
)


REGIONS_BY_ID = {f"e-{n}": "east" if n % 2 else "west" for n in range(10)}


class HomeEnginesTests(TestCase):
    def test_all_entries_choose_the_same_home_in_each_region(self) -> None:
        """The choice depends on the part and the set of engines, not on their order."""
        homes = HomeEngines().find(PROMPT, REGIONS_BY_ID)
        self.assertEqual(set(homes), {"east", "west"})
        for region, upstream_id in homes.items():
            self.assertEqual(REGIONS_BY_ID[upstream_id], region)
        reversed_order = dict(reversed(REGIONS_BY_ID.items()))
        self.assertEqual(HomeEngines().find(PROMPT, reversed_order), homes)

    def test_home_stays_when_another_engine_goes(self) -> None:
        """Only the parts of the removed engine get another home."""
        homes = HomeEngines()
        before = homes.find(PROMPT, REGIONS_BY_ID)
        gone = next(i for i in REGIONS_BY_ID if i not in before.values())
        left = {i: r for i, r in REGIONS_BY_ID.items() if i != gone}
        self.assertEqual(homes.find(PROMPT, left), before)
        left = {i: r for i, r in left.items() if i != before["east"]}
        after = homes.find(PROMPT, left)
        self.assertNotEqual(after["east"], before["east"])
        self.assertEqual(after["west"], before["west"])

    def test_prompt_without_shared_parts_has_no_home(self) -> None:
        """A part specific to one request doesn't need a home engine."""
        alone = PROMPT._replace(parts=PROMPT.parts[-1:])
        self.assertEqual(HomeEngines().find(alone, REGIONS_BY_ID), {})

    def test_parts_spread_over_all_engines(self) -> None:
        """No engine is the home of far more parts than another."""
        count = dict.fromkeys(REGIONS_BY_ID, 0)
        for number in range(1000):
            part = PromptPart(f"s{number}", 400)
            prompt = PROMPT._replace(parts=(part, PromptPart("own", 100)))
            for upstream_id in HomeEngines().find(prompt, REGIONS_BY_ID).values():
                count[upstream_id] += 1
        self.assertGreater(min(count.values()), 100)
        self.assertLess(max(count.values()), 300)


class AffinityTests(TestCase):
    def make(self, **fields: Any) -> Affinity:
        given = {
            "shared": 1200,
            "home": "e-2",
            "entries": 10,
            "known_by_id": {},
            "cached_elsewhere": (),
        }
        return make_affinity(**{**given, **fields})

    def test_home_is_expected_to_hold_what_this_entry_never_sent(self) -> None:
        """Other entries sent it there; other engines would have to prefill it again."""
        affinity = self.make()
        held = affinity.expected_tokens("e-2")
        self.assertEqual(held, int(home_hit_probability(10) * 1200))
        self.assertEqual(affinity.recomputed_tokens(held), 0)
        self.assertEqual(affinity.expected_tokens("e-1"), 0)
        self.assertEqual(affinity.recomputed_tokens(0), held)

    def test_home_hit_probability_grows_with_the_number_of_entries(self) -> None:
        """A single entry sent everything itself; one of many sent almost nothing."""
        self.assertEqual(home_hit_probability(1), 0.0)
        shares = [home_hit_probability(entries) for entries in (1, 3, 10, 30, 70)]
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[-1], 1.0)

    def test_known_cache_hit_goes_before_the_home(self) -> None:
        """Prefilling again counts in full if another engine surely caches the part."""
        affinity = self.make(known_by_id={"e-1": 1200, "e-2": 0})
        self.assertEqual(affinity.expected_tokens("e-1"), 1200)
        self.assertEqual(affinity.recomputed_tokens(1200), 0)
        at_home = affinity.expected_tokens("e-2")
        self.assertEqual(affinity.recomputed_tokens(at_home), 1200 - at_home)

    def test_cache_hit_in_another_region_counts(self) -> None:
        """Running locally prefills again what an engine elsewhere has cached."""
        affinity = self.make(home=None, cached_elsewhere=(720,))
        self.assertEqual(affinity.recomputed_tokens(0), 720)
        self.assertEqual(affinity.recomputed_tokens(720), 0)


class PartCacheTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.cache = PartCache(capacity_tokens=3000, clock=lambda: self.now)

    def test_part_counts_with_all_before_it(self) -> None:
        """A cached part is of no use after a different prefix."""
        self.cache.note_used(PROMPT)
        self.assertEqual(self.cache.hit_tokens(PROMPT), 1300)
        self.assertEqual(self.cache.hit_tokens(PROMPT, last=False), 1200)
        other = PROMPT._replace(parts=(PromptPart("z", 9), *PROMPT.parts[1:]))
        self.assertEqual(self.cache.hit_tokens(other), 0)

    def test_least_recently_used_parts_are_evicted(self) -> None:
        """The model evicts parts that exceed the engine's capacity."""
        self.cache.note_used(PROMPT)
        self.cache.note_used(Prompt("m", 1500, 5, (PromptPart("c", 1500),)))
        self.assertEqual(self.cache.hit_tokens(PROMPT), 0)

    def test_old_parts_are_gone(self) -> None:
        """A part that was not used for a long time counts as evicted."""
        self.cache.note_used(PROMPT)
        self.now = PART_LIFE_SECONDS + 1
        self.assertEqual(self.cache.hit_tokens(PROMPT), 0)
