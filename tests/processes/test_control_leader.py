"""Tests of a leader that is killed, frozen or cut off."""

import signal
import threading
from typing import Any

from examples.deployment import wait_until
from poplarlug.schema import operators_pb2 as pb
from poplarlug.soak.proxy import LinkMode
from tests.processes.control_case import ControlTestCase

CHANGES = 300


class LeaderFaultTests(ControlTestCase):
    def setUp(self) -> None:
        super().setUp()
        leader = wait_until(self.leader, "no leader")
        assert isinstance(leader, str)
        self.old = leader
        self.rest = self.others(leader)

    def test_leader_killed_in_the_middle_of_changes(self) -> None:
        """Each of 300 changes is accepted once and held by every replica."""
        join = self.start_changes("killed", CHANGES)
        wait_until(lambda: len(self.accepted) > CHANGES // 3, "changes stand still")
        self.deployment.kill(self.old)
        join()
        self.assertEqual(len(self.accepted), CHANGES + 1)
        self.assertEqual(len(set(self.accepted.values())), CHANGES + 1)
        self.deployment.start(self.old)
        self.wait_whole()
        self.check_accepted()

    def test_frozen_leader_does_not_rule_when_it_thaws(self) -> None:
        """It serves no stale read and holds no lease once another replica leads."""
        self.thaw_old_leader("while-frozen")

    def test_frozen_leader_without_links_does_not_rule_when_it_thaws(self) -> None:
        """Only its lease keeps it from leading if it can't learn of a later term."""
        self.proxy.isolate(self.old)
        self.addCleanup(self.proxy.heal)
        self.thaw_old_leader("while-frozen-and-cut")

    def thaw_old_leader(self, change: str) -> None:
        """Freeze the leader, make ``change`` elsewhere, resume it and read at once."""
        self.deployment.signal(self.old, signal.SIGSTOP)
        replies: list[Any] = []

        def read_at_old() -> None:
            request = pb.ListRequest(kind="region")
            replies.append(self.ask(self.old, "List", request))

        def look_at_old() -> None:
            replies.append(self.replicas(self.old).get(self.old))

        try:
            wait_until(lambda: self.leader(self.rest), "no other leader")
            self.change(change, client=self.client(self.rest))
            waiting = [
                threading.Thread(target=target)
                for target in (read_at_old, look_at_old) * 4
            ]
            for thread in waiting:
                thread.start()
        finally:
            self.deployment.signal(self.old, signal.SIGCONT)
        for thread in waiting:
            thread.join()
        for reply in replies:
            if isinstance(reply, pb.ReplicaState):
                self.assertNotEqual(reply.role, "leader")
            elif reply is not None:
                names = [message.region.name for message in reply.objects]
                self.assertIn(change, names)
        self.proxy.heal()
        self.wait_whole()
        self.check_accepted()

    def test_leader_that_nobody_hears_gives_way(self) -> None:
        """A cut of only its outgoing links brings a new leader."""
        self.proxy.set_mode(
            LinkMode.LOSE_THERE, matching=lambda source, _: source == self.old
        )
        self.proxy.set_mode(
            LinkMode.LOSE_BACK, matching=lambda _, target: target == self.old
        )
        self.addCleanup(self.proxy.heal)
        wait_until(lambda: self.leader(self.rest), "no other leader")
        self.change("nobody-hears", client=self.client(self.rest))
        wait_until(
            lambda: self.replicas(self.old)[self.old].role != "leader",
            "the former leader rules on",
        )
        self.proxy.heal()
        self.wait_whole()
        self.check_accepted()

    def test_leader_that_hears_nobody_gives_way(self) -> None:
        """A cut of only its incoming links ends its lease."""
        self.proxy.set_mode(
            LinkMode.LOSE_BACK, matching=lambda source, _: source == self.old
        )
        self.proxy.set_mode(
            LinkMode.LOSE_THERE, matching=lambda _, target: target == self.old
        )
        self.addCleanup(self.proxy.heal)
        wait_until(lambda: self.leader(self.rest), "no other leader")
        self.change("hears-nobody", client=self.client(self.rest))
        self.assertNotEqual(self.replicas(self.old)[self.old].role, "leader")
        self.proxy.heal()
        self.wait_whole()
        self.check_accepted()
