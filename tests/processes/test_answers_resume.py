"""Tests of streams whose engine is killed while they run."""

import json
from concurrent.futures import ThreadPoolExecutor
from time import sleep

from examples.deployment import wait_until
from poplarlug.fakes.engine import tokens_of
from tests.processes.case import ProcessTestCase

TOKENS = 60
STREAMS = 6


class ResumedStreamTests(ProcessTestCase):
    @classmethod
    def start_upstreams(cls) -> None:
        for name in ("e1", "e2", "e3"):
            options = "--token_seconds=0.05"
            cls.deployment.start_engine(name, "quito-a", "corn-7b", options)

    def test_killed_engine_leaves_no_gap_and_no_repeat(self) -> None:
        """Streams continue at another engine, with each token exactly once."""
        self.wait_for_upstreams("quito-a-1")
        with ThreadPoolExecutor(STREAMS) as threads:
            answers = [
                threads.submit(
                    self.chat,
                    "quito-a-1",
                    f"long {number}",
                    stream=True,
                    max_tokens=TOKENS,
                )
                for number in range(STREAMS)
            ]
            sleep(1.0)
            self.assertFalse(any(answer.done() for answer in answers))
            self.deployment.kill("e1")
            wait_until(
                lambda: all(answer.done() for answer in answers), "a stream hangs"
            )
        for number, answer in enumerate(answers):
            events = answer.result().body.decode().split("\n\n")
            self.assertEqual(events[-2:], ["data: [DONE]", ""])
            tokens = [
                json.loads(event[6:])["choices"][0]["delta"]["content"].strip()
                for event in events[:-2]
            ]
            messages = [{"role": "user", "content": f"long {number}"}]
            expected = tokens_of({"messages": messages, "max_tokens": TOKENS})
            self.assertEqual(tokens, list(expected))
