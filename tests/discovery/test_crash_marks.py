"""Tests of merging, distributing, withdrawing and bounding crash marks."""

from unittest import TestCase

from hypothesis import given, strategies as st

from poplarlug.discovery.crash_marks import (
    MARK_TTL_SECONDS,
    MAX_MARKS,
    MAX_PENDING_MARKS,
    CrashMark,
    CrashMarks,
)
from poplarlug.discovery.records import UpstreamRun


def make_mark(fingerprint: int = 7, number: int = 1, **fields: bool) -> CrashMark:
    return CrashMark(fingerprint, UpstreamRun(f"u-{number}", 1), **fields)


class CrashMarksTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.marks = CrashMarks(clock=lambda: self.now)

    def test_crash_that_two_entries_saw_counts_once(self) -> None:
        """Marks of the same run are merged, and the ``alone`` flag stays set."""
        self.assertTrue(self.marks.add(make_mark(alone=True)))
        self.assertFalse(self.marks.add(make_mark()))
        self.assertTrue(self.marks.active_for(7)[0].alone)

    def test_withdrawn_mark_is_not_brought_back(self) -> None:
        """An older message may arrive after the complete answer."""
        self.marks.add(make_mark())
        self.assertEqual(self.marks.withdraw(7), 1)
        self.marks.add(make_mark())
        self.assertEqual(self.marks.active_for(7), [])

    def test_run_that_had_not_crashed_counts_for_nobody(self) -> None:
        """All marks of that run are withdrawn."""
        for fingerprint in (7, 8):
            self.marks.add(make_mark(fingerprint, 1))
            self.marks.add(make_mark(fingerprint, 2))
        self.marks.withdraw_run(UpstreamRun("u-1", 1))
        self.assertEqual([len(self.marks.active_for(f)) for f in (7, 8)], [1, 1])

    # Guards against entries that take a successor's answer for that of a run which
    # another one knows to have ended.
    def test_run_that_certainly_ended_counts_whatever_answered_since(self) -> None:
        """In whatever order the entries' marks arrive."""
        run = UpstreamRun("u-1", 1)
        self.marks.add(make_mark())
        self.marks.withdraw_run(run)
        self.assertEqual(self.marks.active_for(7), [])
        self.assertEqual(self.marks.runs_in_doubt(), {run})
        self.marks.add(make_mark(ended=True))
        self.assertEqual(len(self.marks.active_for(7)), 1)
        self.assertEqual(self.marks.runs_in_doubt(), set())
        self.marks.withdraw_run(run)
        self.assertEqual(len(self.marks.active_for(7)), 1)
        self.marks.withdraw(7)
        self.assertEqual(self.marks.active_for(7), [])

    def test_run_that_is_heard_to_be_replaced_counts_again(self) -> None:
        """Its successor had answered before control heard of it."""
        run = UpstreamRun("u-1", 1)
        self.marks.add(make_mark())
        self.marks.withdraw_run(run)
        self.marks.note_ended(run)
        self.assertEqual(len(self.marks.active_for(7)), 1)

    def test_marks_expire_by_age(self) -> None:
        """Marks carry their age from VM to VM and expire accordingly."""
        self.marks.add(make_mark()._replace(age_seconds=100.0))
        self.now = MARK_TTL_SECONDS - 101.0
        self.assertEqual(len(self.marks.active_for(7)), 1)
        self.now += 2.0
        self.assertEqual(self.marks.active_for(7), [])
        self.marks.expire()
        self.assertTrue(self.marks.is_empty)

    def test_flood_of_requests_does_not_push_out_a_culprit(self) -> None:
        """Requests with the fewest marks are evicted first."""
        for number in range(3):
            self.marks.add(make_mark(7, number))
        for fingerprint in range(100, 100 + 3 * MAX_MARKS):
            self.now += 0.001
            self.marks.add(make_mark(fingerprint))
        held, _ = self.marks.changed_after(0, 10 * MAX_MARKS)
        self.assertLessEqual(len(held), MAX_MARKS)
        self.assertEqual(len(self.marks.active_for(7)), 3)

    def test_queued_changes_are_bounded_and_sent_once(self) -> None:
        """Marks that couldn't be sent stay queued, with their age."""
        for fingerprint in range(2 * MAX_PENDING_MARKS):
            self.marks.add_and_queue(make_mark(fingerprint))
        self.now = 5.0
        first = self.marks.take_pending(10)
        self.assertEqual([mark.age_seconds for mark in first], [5.0] * 10)
        self.marks.requeue(first[:3])
        self.assertEqual(len(self.marks.take_pending()), MAX_PENDING_MARKS - 7)
        self.assertFalse(self.marks.has_pending.is_set())

    def test_readers_catch_up_in_steps(self) -> None:
        """Each step returns the revision from which the next one continues."""
        for number in range(5):
            self.marks.add(make_mark(7, number))
        other = CrashMarks(clock=lambda: self.now)
        known = 0
        for _ in range(3):
            marks, known = self.marks.changed_after(known, 2)
            for mark in marks:
                other.add(mark)
        self.assertEqual(known, self.marks.revision.value)
        self.assertEqual(len(other.active_for(7)), 5)

    @given(
        st.lists(
            st.builds(
                make_mark,
                st.integers(1, 3),
                st.integers(1, 3),
                alone=st.booleans(),
                withdrawn=st.booleans(),
                ended=st.booleans(),
                returned=st.booleans(),
            )
        ),
        st.randoms(),
    )
    def test_order_of_marks_does_not_matter(self, marks, random) -> None:  # type: ignore[no-untyped-def]
        """VMs that received the same marks agree, whatever the order."""
        views = []
        for _ in range(2):
            view = CrashMarks(clock=lambda: 0.0)
            for mark in marks:
                view.add(mark)
            views.append(sorted(view.changed_after(0, MAX_MARKS)[0]))
            random.shuffle(marks)
        self.assertEqual(*views)
