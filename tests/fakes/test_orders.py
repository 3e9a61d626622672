"""Tests of the fake engine's orders."""

from unittest import TestCase

from poplarlug.fakes.orders import Order, OrderExecutor


def order(order_id: str, index: int, action: str = "load", model: str = "x") -> Order:
    return Order(order_id, action, model, "", (1, index))


class OrderExecutorTests(TestCase):
    def test_old_fencing_number_is_refused(self) -> None:
        """An engine that checks numbers refuses one below the highest so far."""
        executor = OrderExecutor(models=())
        self.assertEqual(executor.execute(order("a", 2)), "")
        self.assertIn("expected (1, 2)", executor.execute(order("b", 1, "unload")))
        self.assertEqual(executor.models, ["x"])

    def test_engine_that_ignores_numbers_takes_them_all(self) -> None:
        """Without the check, an old order is executed."""
        executor = OrderExecutor(models=(), checks_fencing=False)
        executor.execute(order("a", 2))
        self.assertEqual(executor.execute(order("b", 1, "unload")), "")
        self.assertEqual(executor.models, [])

    def test_resend_runs_once(self) -> None:
        """An order id is executed only once."""
        executor = OrderExecutor(models=())
        executor.execute(order("a", 1))
        executor.execute(order("b", 2, "unload"))
        self.assertEqual(executor.execute(order("a", 3)), "")
        self.assertEqual(executor.models, [])
