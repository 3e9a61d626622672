"""Tests of catalog versions, updates and hashes."""

from unittest import TestCase

from poplarlug.catalog import Account, Catalog, Delta, Model, Region, Update
from poplarlug.catalog.catalog import MAX_DELETIONS, encode_object


def model_delta(version: int, name: str, max_tokens: int = 1) -> Delta:
    value = encode_object(Model(name, max_tokens=max_tokens))
    return Delta(version, "model", name, value)


def deletion(version: int, name: str) -> Delta:
    return Delta(version, "model", name, None)


class CatalogTests(TestCase):
    def setUp(self) -> None:
        self.source = Catalog()
        for delta in (
            model_delta(1, "a"),
            model_delta(2, "b"),
            model_delta(3, "a", 7),
            deletion(4, "b"),
            model_delta(5, "c"),
        ):
            self.assertTrue(self.source.apply(delta))

    def test_any_update_leads_to_the_same_state(self) -> None:
        """Updates from any version lead to the same state hash."""
        for version in range(6):
            holder = Catalog()
            for delta in (
                model_delta(1, "a"),
                model_delta(2, "b"),
                model_delta(3, "a", 7),
                deletion(4, "b"),
                model_delta(5, "c"),
            )[:version]:
                holder.apply(delta)
            holder.update(self.source.update_after(version))
            self.assertEqual(holder.state_hash(), self.source.state_hash())
            self.assertEqual(holder.names("model"), ["a", "c"])

    def test_older_update_changes_nothing(self) -> None:
        """An update of an equal or smaller version doesn't change the state."""
        before = self.source.state_hash()
        old = Update(0, 5, (model_delta(5, "other"),), whole=True)
        self.assertFalse(self.source.update(old))
        self.assertEqual(self.source.state_hash(), before)

    def test_update_with_a_gap_is_refused(self) -> None:
        """An update whose base is after the current version is not applied."""
        self.assertFalse(Catalog().update(Update(3, 5, (model_delta(5, "c"),))))

    def test_update_of_unknown_shape_is_refused_as_a_whole(self) -> None:
        """An update with one delta that can't be decoded is not applied at all."""
        before = self.source.state_hash()
        broken = Delta(7, "model", "d", b"\xc1")
        update = Update(5, 7, (model_delta(6, "x"), broken))
        self.assertFalse(self.source.update(update))
        self.assertEqual(self.source.state_hash(), before)

    def test_forgotten_deletions_give_the_whole_configuration(self) -> None:
        """A version older than the recorded deletions gets the whole configuration."""
        version = 5
        for _ in range(MAX_DELETIONS + 1):
            version += 1
            self.source.apply(model_delta(version, f"m{version}"))
            self.source.apply(deletion(version + 1, f"m{version}"))
            version += 1
        update = self.source.update_after(3)
        self.assertTrue(update.whole)
        holder = Catalog()
        holder.apply(model_delta(1, "gone"))
        self.assertTrue(holder.update(update))
        self.assertEqual(holder.state_hash(), self.source.state_hash())
        self.assertFalse(self.source.update_after(version - 2).whole)

    def test_image_keeps_deltas_for_holders(self) -> None:
        """After a restore, updates still include deletions since their base."""
        restored = Catalog()
        restored.restore(self.source.image())
        self.assertEqual(restored.state_hash(), self.source.state_hash())
        update = restored.update_after(3)
        self.assertFalse(update.whole)
        self.assertEqual([delta.name for delta in update.deltas], ["b", "c"])

    def test_keys_follow_their_account(self) -> None:
        """A key hash removed from an account no longer resolves to it."""
        key_hash, other = "ab" * 32, "cd" * 32
        account = Account("verde", "r", ("r",), key_hashes=(key_hash,))
        self.source.apply(Delta(6, "region", "r", encode_object(Region("r"))))
        self.source.apply(Delta(7, "account", "verde", encode_object(account)))
        self.assertEqual(self.source.account_by_key_hash(key_hash), account)
        changed = account._replace(key_hashes=(other,))
        self.source.apply(Delta(8, "account", "verde", encode_object(changed)))
        self.assertIsNone(self.source.account_by_key_hash(key_hash))
        self.assertEqual(self.source.account_by_key_hash(other), changed)
