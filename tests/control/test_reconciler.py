"""Tests of the orders planned to bring a zone to its placements."""

from unittest import TestCase

from poplarlug.catalog import Placement
from poplarlug.control.reconciler import WantedOrder, plan_orders
from poplarlug.membership.upstreams import Announcement


def engine(upstream_id: str, *models: str, running: int = 0) -> Announcement:
    return Announcement(upstream_id, "engine", "", models=models, running=running)


def placement(model: str, upstreams: int) -> Placement:
    return Placement(f"z/{model}", "z", model, upstreams)


class PlanTests(TestCase):
    def test_missing_models_go_to_the_emptiest_engines(self) -> None:
        """Models are loaded on the engines with the fewest models."""
        engines = [engine("a", "x", "y"), engine("b"), engine("c", "x")]
        plan = plan_orders([placement("corn", 2)], engines)
        self.assertEqual(
            plan, (WantedOrder("b", "load", "corn"), WantedOrder("c", "load", "corn"))
        )

    def test_surplus_is_unloaded_where_least_is_running(self) -> None:
        """The busiest engines keep the model."""
        engines = [engine("a", "corn", running=3), engine("b", "corn", running=1)]
        plan = plan_orders([placement("corn", 1)], engines)
        self.assertEqual(plan, (WantedOrder("b", "unload", "corn"),))

    def test_models_without_a_placement_are_left_alone(self) -> None:
        """No orders are planned for models without a placement."""
        self.assertEqual(plan_orders([], [engine("a", "corn")]), ())

    def test_leaving_engines_and_services_do_not_count(self) -> None:
        """Only serving engines are counted and get orders."""
        leaving = engine("a", "corn")._replace(state="leaving")
        service = Announcement("s", "service", "")
        plan = plan_orders([placement("corn", 1)], [leaving, service, engine("b")])
        self.assertEqual(plan, (WantedOrder("b", "load", "corn"),))

    def test_more_wanted_than_engines_loads_all(self) -> None:
        """If a zone has too few engines, all of them load the model."""
        plan = plan_orders([placement("corn", 9)], [engine("a"), engine("b", "corn")])
        self.assertEqual(plan, (WantedOrder("a", "load", "corn"),))
