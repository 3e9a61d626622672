"""Tests of an entry's view of the deployment."""

from unittest import TestCase

from poplarlug.control.routing_state import encode_table
from poplarlug.discovery.deployment import (
    LOST_ENTRY_TTL_SECONDS,
    PRESUMED_COLD_SECONDS,
    Deployment,
    RunStatus,
)
from poplarlug.discovery.messages import PollReply, RoutingUpdate
from tests.discovery.test_registry import make_entry, make_upstream
from tests.routes.test_checks import make_route, make_table

REPLY = PollReply(
    registry_id="r", revision=1, whole=False, current=True, zone="quito-a"
)


class DeploymentTests(TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.deployment = Deployment(
            own_region="sierra",
            regions_by_zone={"quito-a": "sierra", "cuenca-a": "austro"},
            clock=lambda: self.now,
        )

    def apply_reply(self, **fields: object) -> None:
        self.deployment.apply_reply(REPLY._replace(**fields))

    def serving(self) -> list[str]:
        return [upstream.id for upstream in self.deployment.serving("engine")]

    def test_lost_entries_keep_their_share(self) -> None:
        """An unreachable entry may still spend from a common budget."""
        entries = tuple(make_entry(name=f"quito-a-{n}") for n in range(3))
        self.apply_reply(entries=entries)
        self.apply_reply(entries=(entries[0]._replace(state="lost"),))
        self.assertEqual(len(self.deployment.entries_sharing_budgets("sierra")), 3)
        self.assertEqual(len(self.deployment.entries_of("sierra")), 2)
        self.now += LOST_ENTRY_TTL_SECONDS + 1
        self.apply_reply(entries=entries[1:])
        self.assertEqual(len(self.deployment.entries_sharing_budgets("sierra")), 2)

    def test_whole_reply_ends_what_it_does_not_name(self) -> None:
        """Only the reply of a settled replica is complete; others may lack records."""
        self.apply_reply(upstreams=(make_upstream(),))
        self.apply_reply(upstreams=())
        self.assertEqual(self.serving(), ["e-1"])
        self.apply_reply(whole=True)
        self.assertEqual(self.serving(), [])

    # Guards against using an upstream again after its departure.
    def test_upstream_that_left_is_not_brought_back_by_a_replica(self) -> None:
        """A restarted replica may report the earlier phase; a new run is used."""
        for phase in ("leaving", "gone"):
            self.apply_reply(upstreams=(make_upstream(),))
            self.apply_reply(upstreams=(make_upstream(phase=phase, sequence=2),))
            self.apply_reply(upstreams=(make_upstream(),))
            self.assertEqual(self.serving(), [], phase)
        self.apply_reply(upstreams=(make_upstream(born=make_upstream().born + 1),))
        self.assertEqual(self.serving(), ["e-1"])

    # Guards against using an upstream under an id that it no longer has.
    def test_later_run_at_an_address_ends_the_one_before(self) -> None:
        """The earlier run ends even if the replica that knew it is gone."""
        early = make_upstream()
        late = make_upstream(id="e-2", born=early.born + 1)
        for order in ((early, late), (late, early)):
            for record in order:
                self.apply_reply(upstreams=(record,))
            self.assertEqual(self.serving(), ["e-2"])
            self.assertIs(self.deployment.run_status(early), RunStatus.REPLACED)
            self.apply_reply(whole=True)
        self.apply_reply(upstreams=(early, late._replace(address="10.0.1.9:80")))
        self.assertEqual(sorted(self.serving()), ["e-1", "e-2"])

    def test_evacuated_zone_serves_nothing_and_comes_back_as_if_cold(self) -> None:
        """Its upstreams may have become cold and not announced it yet."""
        self.apply_reply(upstreams=(make_upstream(),))
        self.assertEqual(self.deployment.cold_seconds("e-1"), 0.0)
        self.apply_reply(routing=RoutingUpdate(1, b"", ("quito-a",)))
        self.assertEqual(self.serving(), [])
        self.apply_reply(routing=RoutingUpdate(2, b"", ()))
        self.assertEqual(self.serving(), ["e-1"])
        self.assertGreater(self.deployment.cold_seconds("e-1"), 0.0)
        self.now += PRESUMED_COLD_SECONDS
        self.assertEqual(self.deployment.cold_seconds("e-1"), 0.0)

    def test_older_routes_never_come_back(self) -> None:
        """A lagging replica can't replace the routes in force."""
        for revision, version in ((2, 7), (1, 9), (3, 5)):
            table = make_table(make_route(), version=version)
            self.apply_reply(routing=RoutingUpdate(revision, encode_table(table)))
        assert self.deployment.routes is not None
        self.assertEqual(self.deployment.routes.version, 7)

    def test_damaged_routes_change_nothing(self) -> None:
        """Routes that can't be decoded are ignored."""
        self.apply_reply(
            routing=RoutingUpdate(1, encode_table(make_table(make_route())))
        )
        self.apply_reply(routing=RoutingUpdate(2, b"damaged"))
        self.assertEqual(self.deployment.routing_revision, 1)

    def test_upstreams_of_other_regions_are_not_used(self) -> None:
        """Upstreams accept connections only from their own region."""
        self.apply_reply(upstreams=(make_upstream(zone="cuenca-a"),))
        self.assertEqual(self.serving(), [])
        self.assertEqual(self.deployment.serving_regions("engine"), {"e-1": "austro"})
