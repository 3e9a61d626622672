"""Tests of the fake engine's orders."""

from unittest import TestCase

from poplarlug.fakes.orders import Order, OrderDesk


def order(order_id: str, index: int, action: str = "load", model: str = "x") -> Order:
    return Order(order_id, action, model, "", (1, index))


class OrderDeskTests(TestCase):
    def test_old_fencing_number_is_refused(self) -> None:
        """An engine that checks numbers refuses one below the highest so far."""
        desk = OrderDesk(models=())
        self.assertEqual(desk.take(order("a", 2)), "")
        self.assertIn("expected (1, 2)", desk.take(order("b", 1, "unload")))
        self.assertEqual(desk.models, ["x"])

    def test_engine_that_ignores_numbers_takes_them_all(self) -> None:
        """Without the check, an old order is executed."""
        desk = OrderDesk(models=(), checks_fencing=False)
        desk.take(order("a", 2))
        self.assertEqual(desk.take(order("b", 1, "unload")), "")
        self.assertEqual(desk.models, [])

    def test_resend_runs_once(self) -> None:
        """An order id is executed only once."""
        desk = OrderDesk(models=())
        desk.take(order("a", 1))
        desk.take(order("b", 2, "unload"))
        self.assertEqual(desk.take(order("a", 3)), "")
        self.assertEqual(desk.models, [])
