"""Tests of what a placement is decided on."""

from unittest import TestCase

from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.relay.view import answer_seconds
from tests.routes.test_checks import make_route


def make_request(**fields: object) -> RelayRequest:
    request = RelayRequest(
        id="r-1",
        route=make_route(prompts=True, timeout_seconds=5.0),
        service="engine",
        method="POST",
        path="/chat/1",
        headers=(),
        body=b"",
        arrived=0.0,
        deadline=5.0,
        prompt=Prompt(tokens=100, max_tokens=40),
    )
    return request._replace(**fields)


class AnswerSecondsTests(TestCase):
    def test_follows_the_tokens_that_the_caller_allows(self) -> None:
        """A short answer leaves more time to wait for its first event."""
        self.assertAlmostEqual(answer_seconds(make_request()), 0.8)

    def test_generous_bound_on_tokens_refuses_nobody(self) -> None:
        """Callers allow for far more tokens than most answers have."""
        generous = make_request(prompt=Prompt(tokens=100, max_tokens=100_000))
        self.assertLessEqual(answer_seconds(generous), 1.0)

    def test_plain_answers_take_no_time_after_their_first_byte(self) -> None:
        """They are passed on whole."""
        plain = make_request(route=make_route(), prompt=Prompt())
        self.assertEqual(answer_seconds(plain), 0.0)
