"""Tests of a flood of patient requests through separate processes."""

import asyncio
import json
from typing import Any

import aiohttp

from poplarlug.load.http_driver import HttpPlan, run_http
from tests.processes.case import ProcessTestCase

FLOOD_REQUESTS = 60
ENGINE_SLOTS = 2
REFUSALS = 10
ENTRY = "quito-a-1"


class PatientFloodTests(ProcessTestCase):
    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine(
            "e1",
            "quito-a",
            "corn-7b",
            "--token_seconds=0.05",
            f"--batch_limit={ENGINE_SLOTS}",
        )

    def setUp(self) -> None:
        self.deployment.operate("rank", "put", "patient", "--target_seconds=14")
        self.wait_for_upstreams(ENTRY)
        self.events: list[str] = []

    async def ask(
        self, session: aiohttp.ClientSession, rank: str, number: int
    ) -> dict[str, Any]:
        body = {
            "model": "corn-7b",
            "messages": [{"role": "user", "content": f"{rank} {number}"}],
            "max_tokens": 30,
        }
        url = f"http://{self.entry(ENTRY)}/v1/chat/completions"
        headers = {
            "Authorization": f"Bearer {self.deployment.key}",
            "X-Rank": rank,
        }
        async with session.post(url, json=body, headers=headers) as response:
            answer = await response.json()
            self.events.append(f"{rank} {response.status}")
            if self.events.count("patient 429") >= REFUSALS:
                self.refusing.set()
            if response.status == 429:
                self.assertGreaterEqual(int(response.headers["Retry-After"]), 1)
                self.assertEqual(answer["error"]["type"], "overloaded")
                self.assertIs(answer["error"]["ran"], False)
            return answer

    async def flood(self) -> list[int]:
        """Return how many patient calls were answered while each urgent call waited."""
        self.refusing = asyncio.Event()
        timeout = aiohttp.ClientTimeout(total=90)
        connector = aiohttp.TCPConnector(limit=FLOOD_REQUESTS + 10)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            patient = [
                asyncio.ensure_future(self.ask(session, "patient", number))
                for number in range(FLOOD_REQUESTS)
            ]
            await self.refusing.wait()
            overtaken = []
            for number in range(2):
                before = self.events.count("patient 200")
                answer = await self.ask(session, "urgent", number)
                self.assertIn("choices", answer)
                overtaken.append(self.events.count("patient 200") - before)
            await asyncio.gather(*patient)
        return overtaken

    def test_engine_is_told_the_priority_of_the_rank(self) -> None:
        """The engine receives each request's priority, which its rank sets."""
        for rank, priority in (("urgent", 0), ("patient", 1)):
            body = {"model": "corn-7b", "messages": [], "max_tokens": 1}
            answer = self.call(
                ENTRY, "/v1/chat/completions", body, headers={"X-Rank": rank}
            )
            self.assertEqual(answer.json()["priority"], priority)

    def test_with_load_tool_every_request_counts_once(self) -> None:
        """The load tool's summary over HTTP counts each request by its status."""
        self.deployment.operate("rank", "put", "patient", "--target_seconds=6")
        plan = HttpPlan(
            entries=(self.entry(ENTRY),),
            key=self.deployment.key,
            model="corn-7b",
            seconds=2.0,
            rates_by_rank={"urgent": 1.0, "patient": 1.0},
            flood_rank="patient",
            flood_rate=60.0,
        )
        summary = json.loads(asyncio.run(run_http(plan)))
        for rank in ("urgent", "patient"):
            counts = summary[rank]["statuses"]
            self.assertEqual(sum(counts.values()), summary[rank]["sent"])
            self.assertEqual(set(counts) - {"200", "429"}, set())
        self.assertGreater(summary["patient"]["statuses"].get("429", 0), 0)
        self.assertEqual(summary["patient"]["refused_without_retry_after"], 0)
        self.assertNotIn("429", summary["urgent"]["statuses"])

    def test_urgent_work_is_served_and_refusals_come_at_once(self) -> None:
        """Urgent calls overtake queued patient ones; patient calls that can't be
        served in time are refused before the queue has moved far."""
        overtaken = asyncio.run(self.flood())
        # Patient calls in the slots, and those that start along with the urgent one.
        self.assertLessEqual(max(overtaken), 2 * ENGINE_SLOTS)
        self.assertEqual(self.events.count("urgent 200"), 2)
        served = [i for i, event in enumerate(self.events) if event == "patient 200"]
        refused = [i for i, event in enumerate(self.events) if event == "patient 429"]
        self.assertEqual(len(served) + len(refused), FLOOD_REQUESTS)
        self.assertGreater(len(served), 2 * ENGINE_SLOTS)
        self.assertLess(refused[REFUSALS - 1], served[2 * ENGINE_SLOTS])
        metrics = self.call(ENTRY, "/metrics").body.decode()
        self.assertIn("poplarlug_admission_refused_total", metrics)
