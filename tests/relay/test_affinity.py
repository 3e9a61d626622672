"""Tests of which engine reads a prompt's shared parts."""

from unittest import TestCase

from poplarlug.relay.affinity import (
    Affinity,
    Holders,
    preferred_upstream,
    shared_tokens,
)
from poplarlug.relay.part_cache import PART_LIFE_SECONDS, PartCache
from poplarlug.relay.requests import Prompt, PromptPart

PROMPT = Prompt(
    "m",
    1300,
    50,
    (PromptPart("a", 800), PromptPart("b", 400), PromptPart("own", 100)),
)


class AffinityTests(TestCase):
    def test_all_entries_prefer_the_same_upstream(self) -> None:
        """The choice depends on the part and the upstreams, not on their order."""
        ids = [f"e-{number}" for number in range(9)]
        chosen = preferred_upstream(PROMPT, ids)
        self.assertEqual(preferred_upstream(PROMPT, reversed(ids)), chosen)
        others = [i for i in ids if i != chosen][:4]
        self.assertEqual(preferred_upstream(PROMPT, [*others, chosen or ""]), chosen)

    def test_prompt_without_shared_parts_prefers_nobody(self) -> None:
        """A part of its own is no reason to choose."""
        alone = PROMPT._replace(parts=PROMPT.parts[-1:])
        self.assertIsNone(preferred_upstream(alone, ["e-1"]))

    def test_known_holders_go_before_the_preferred_one(self) -> None:
        """Reading a part again that is known elsewhere counts in full."""
        held = Affinity(Holders({"e-1": 1200, "e-2": 0}, {}), 1200, "e-2")
        self.assertEqual(held.reread_tokens(1200, False), 0)
        self.assertEqual(held.reread_tokens(0, True), 1200)
        unknown = Affinity(Holders({}, {}), shared_tokens(PROMPT), "e-2")
        self.assertEqual(unknown.reread_tokens(0, True), 0)
        self.assertEqual(unknown.reread_tokens(0, False), 600)


class PartCacheTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.cache = PartCache(capacity_tokens=3000, clock=lambda: self.now)

    def test_part_counts_with_all_before_it(self) -> None:
        """A part that is cached behind another beginning is of no use."""
        self.cache.used(PROMPT)
        self.assertEqual(self.cache.hit_tokens(PROMPT), 1300)
        self.assertEqual(self.cache.hit_tokens(PROMPT, last=False), 1200)
        other = PROMPT._replace(parts=(PromptPart("z", 9), *PROMPT.parts[1:]))
        self.assertEqual(self.cache.hit_tokens(other), 0)

    def test_least_recently_used_parts_yield(self) -> None:
        """The cache forgets what its engine has no room for."""
        self.cache.used(PROMPT)
        self.cache.used(Prompt("m", 1500, 5, (PromptPart("c", 1500),)))
        self.assertEqual(self.cache.hit_tokens(PROMPT), 0)

    def test_old_parts_are_gone(self) -> None:
        """A part that was long not used counts as evicted."""
        self.cache.used(PROMPT)
        self.now = PART_LIFE_SECONDS + 1
        self.assertEqual(self.cache.hit_tokens(PROMPT), 0)
