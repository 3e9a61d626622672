"""Tests of resuming streams at an entry that is out of step during a release."""

import os
import signal
import time
from collections.abc import Callable
from typing import Any, ClassVar
from unittest.mock import patch

from poplarlug.soak.deployment import SeededDeployment, wait_until
from tests.platform_adapter.cut_off_entry import CUT_VARIABLE
from tests.platform_adapter.stream_case import NEW, OLD, ROUTES, StreamCase

MIN_BEGUN_BY_NEW = 5
CUT_OFF_MODULE = "tests.platform_adapter.cut_off_entry"


class OutOfStepTests(StreamCase):
    """
    Upstreams of a second version join while one entry is out of step.

    Streams that begin on them through another entry break off when that one is killed,
    and their callers come to the entry that is out of step.
    """

    entry_zones: ClassVar[tuple[str, ...]] = (
        "quito-a",
        "quito-a",
        "quito-a",
        "guayaquil-a",
    )

    def setUp(self) -> None:
        start = SeededDeployment._start

        def start_with_cut(
            deployment: SeededDeployment, name: str, module: str, settings: Any
        ) -> None:
            is_entry = name in deployment.entries
            os.environ[CUT_VARIABLE] = str(deployment.folder / f"{name}.cut")
            start(deployment, name, CUT_OFF_MODULE if is_entry else module, settings)

        patched = patch.object(SeededDeployment, "_start", start_with_cut)
        patched.start()
        self.addCleanup(patched.stop)
        self.addCleanup(os.environ.pop, CUT_VARIABLE, None)
        super().setUp()
        self.first, _, self.out_of_step, _ = self.entries
        self.old = [self.add_version(f"old-{n}", OLD) for n in range(2)]
        self.keep_announcing(*self.old)
        self.configure(**ROUTES)
        self.wait_served()
        self.wait_until_entries_are_known()

    def entries_from(self, number: int) -> list[str]:
        return [self.first, self.out_of_step]

    def cut_off(self, what: str) -> None:
        (self.deployment.folder / f"{self.out_of_step}.cut").write_text(what)

    def join(self) -> None:
        """Start upstreams of the new version; return once the first entry uses them."""
        new = [self.add_version(f"new-{n}", NEW) for n in range(2)]
        self.keep_announcing(*new)
        wait_until(
            lambda: "discovery: software versions" in self.deployment.log(self.first),
            "no version joined",
        )

    def check(self, disturb: Callable[[], None]) -> None:
        """Run streams through the first entry, and check that none is joined."""
        streams = self.run_streams(disturb)
        begun_by_new = [
            one for one in streams if one.events and one.events[0][1] == NEW
        ]
        resumed = [one for one in begun_by_new if one.was_resumed]
        first_attempts = [
            (one.attempts[0].status, len(one.attempts[0].events), len(one.attempts))
            for one in streams
        ]
        self.assertGreaterEqual(len(resumed), MIN_BEGUN_BY_NEW, first_attempts)
        self.check_not_joined(streams)

    # Guards against streams joined at an entry that knew one version only.
    def test_entry_cut_off_from_control(self) -> None:
        """It doesn't learn of the new version."""
        self.cut_off("control")
        self.join()
        self.check(lambda: self.restart([self.first]))

    def test_entry_that_stands_still(self) -> None:
        """It wakes up while callers come to it."""
        self.deployment.signal(self.out_of_step, signal.SIGSTOP)
        self.join()

        def disturb() -> None:
            self.restart([self.first])
            time.sleep(0.5)
            self.deployment.signal(self.out_of_step, signal.SIGCONT)

        self.check(disturb)

    def test_entry_that_stands_still_and_is_cut_off_from_control(self) -> None:
        """No poll is answered after it woke up."""
        self.cut_off("control")
        self.deployment.signal(self.out_of_step, signal.SIGSTOP)
        self.join()

        def disturb() -> None:
            self.restart([self.first])
            time.sleep(0.5)
            self.deployment.signal(self.out_of_step, signal.SIGCONT)

        self.check(disturb)

    def test_entry_cut_off_from_other_entries(self) -> None:
        """It reaches control, but no entry of another region."""
        self.cut_off("entries")
        self.join()
        self.check(lambda: self.restart([self.first]))
