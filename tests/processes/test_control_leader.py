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
        self.old_leader = leader
        self.other_names = self.others(leader)

    def test_leader_killed_in_the_middle_of_changes(self) -> None:
        """Each of 300 changes is accepted once and held by every replica."""
        join = self.start_changes("killed", CHANGES)
        wait_until(
            lambda: len(self.accepted_versions) > CHANGES // 3, "changes stand still"
        )
        self.deployment.kill(self.old_leader)
        join()
        self.assertEqual(len(self.accepted_versions), CHANGES + 1)
        self.assertEqual(len(set(self.accepted_versions.values())), CHANGES + 1)
        self.deployment.start(self.old_leader)
        self.wait_until_healthy()
        self.check_accepted()

    def test_frozen_leader_does_not_lead_after_resuming(self) -> None:
        """It serves no stale read and holds no lease once another replica leads."""
        self.resume_old_leader("while-frozen")

    def test_isolated_frozen_leader_does_not_lead_after_resuming(self) -> None:
        """Only its lease keeps it from leading if it can't learn of a later term."""
        self.proxy.isolate(self.old_leader)
        self.addCleanup(self.proxy.heal)
        self.resume_old_leader("while-frozen-and-cut")

    def resume_old_leader(self, change: str) -> None:
        """Freeze the leader, make ``change`` elsewhere, resume it and read at once."""
        self.deployment.signal(self.old_leader, signal.SIGSTOP)
        replies: list[Any] = []

        def read_at_old() -> None:
            request = pb.ListRequest(kind="region")
            replies.append(self.call_replica(self.old_leader, "List", request))

        def read_status_at_old() -> None:
            replies.append(self.replicas(self.old_leader).get(self.old_leader))

        try:
            wait_until(lambda: self.leader(self.other_names), "no other leader")
            self.change(change, client=self.client(self.other_names))
            waiting = [
                threading.Thread(target=target)
                for target in (read_at_old, read_status_at_old) * 4
            ]
            for thread in waiting:
                thread.start()
        finally:
            self.deployment.signal(self.old_leader, signal.SIGCONT)
        for thread in waiting:
            thread.join()
        for reply in replies:
            if isinstance(reply, pb.ReplicaState):
                self.assertNotEqual(reply.role, "leader")
            elif reply is not None:
                names = [message.region.name for message in reply.objects]
                self.assertIn(change, names)
        self.proxy.heal()
        self.wait_until_healthy()
        self.check_accepted()

    def test_leader_with_cut_outgoing_links_is_replaced(self) -> None:
        """A cut of only its outgoing links brings a new leader."""
        self.proxy.set_mode(
            LinkMode.LOSE_THERE, matching=lambda source, _: source == self.old_leader
        )
        self.proxy.set_mode(
            LinkMode.LOSE_BACK, matching=lambda _, target: target == self.old_leader
        )
        self.addCleanup(self.proxy.heal)
        wait_until(lambda: self.leader(self.other_names), "no other leader")
        self.change("nobody-hears", client=self.client(self.other_names))
        wait_until(
            lambda: self.replicas(self.old_leader)[self.old_leader].role != "leader",
            "the former leader rules on",
        )
        self.proxy.heal()
        self.wait_until_healthy()
        self.check_accepted()

    def test_leader_with_cut_incoming_links_is_replaced(self) -> None:
        """A cut of only its incoming links ends its lease."""
        self.proxy.set_mode(
            LinkMode.LOSE_BACK, matching=lambda source, _: source == self.old_leader
        )
        self.proxy.set_mode(
            LinkMode.LOSE_THERE, matching=lambda _, target: target == self.old_leader
        )
        self.addCleanup(self.proxy.heal)
        wait_until(lambda: self.leader(self.other_names), "no other leader")
        self.change("hears-nobody", client=self.client(self.other_names))
        self.assertNotEqual(
            self.replicas(self.old_leader)[self.old_leader].role, "leader"
        )
        self.proxy.heal()
        self.wait_until_healthy()
        self.check_accepted()
