"""Compares complete sessions with golden files; `GOLDEN_WRITE=1` rewrites the files for review."""

import os
import unittest
from pathlib import Path

from ruddersaddle.keys import new_key
from ruddersaddle_base.ids import WorkspaceId
from ruddersaddle_state.entries import Template

from ruddersaddle_standins.clients import Client
from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.sessions import Exchange, exchange_raw, record_session

GOLDEN = Path(__file__).parent / "golden"
JSON = (("Content-Type", "application/json"),)
PROMPT = '{"model":"assistant","prompt":"hello","max_tokens":3%s}'
CHAT = '{"model":"assistant","messages":[{"role":"user","content":"hi"}],"max_tokens":3%s}'
TEMPLATED = '{"model":"assistant","template":"%s","parameters":{%s},"max_tokens":2}'


class SessionTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        settings = {"requests.body_max": "4096", "requests.read_timeout_s": "1.0"}
        cls.fleet = Fleet(Topology(hosts=1, engines=1, services=1, stores=0, settings=settings))
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)
        template = Template("referral", WorkspaceId("clinic-1"), "Dear $name: ", ("name",))
        cls.fleet.publish(template)
        cls.address = cls.fleet.address_by_name["host-1"]

    def check(self, name: str, *exchanges: Exchange) -> None:
        self.fleet.wait_recovered()
        found = record_session(self.address, list(exchanges))
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("GOLDEN_WRITE"):
            path.write_text(found)
        self.assertEqual(found, path.read_text())

    def post(self, path: str, body: str, **more) -> Exchange:
        return Exchange("POST", path, body, **more)

    def test_prompts(self):
        self.check(
            "prompts",
            Exchange("GET", "/v1/models"),
            self.post("/v1/completions", PROMPT % ""),
            self.post("/v1/completions", PROMPT % ',"stream":true'),
            self.post("/v1/chat/completions", CHAT % ""),
            self.post("/v1/chat/completions", CHAT % ',"stream":true'),
            self.post("/v1/completions", TEMPLATED % ("referral", '"name":"Anna"')),
        )

    def test_bad_prompts(self):
        self.check(
            "bad-prompts",
            self.post("/v1/completions", "{"),
            self.post("/v1/completions", '{"model":"assistant","prompt":7}'),
            self.post("/v1/completions", '{"model":"assistant"}'),
            self.post("/v1/completions", PROMPT.replace("3", "0") % ""),
            self.post("/v1/completions", '{"model":"other","prompt":"x"}'),
            self.post("/v1/chat/completions", PROMPT % ""),
            self.post("/v1/completions", TEMPLATED % ("referal", "")),
            self.post("/v1/completions", TEMPLATED % ("referral", "")),
            self.post("/v1/completions", TEMPLATED % ("referral", '"nam":"Anna"')),
            self.post("/v1/completions", "x" * 5000),
            self.post("/v1/completions", PROMPT % "", headers=(("Deadline-Ms", "soon"),)),
            self.post("/v1/completions", PROMPT % "", headers=(("Priority-Class", "urgnt"),)),
            self.post("/v1/completions", PROMPT % "", workspace=""),
            self.post("/v1/completions", PROMPT % "", workspace="clinic-9"),
            self.post(
                "/v1/completions",
                TEMPLATED % ("referral", '"name":"Anna"'),
                workspace="clinic-2",
            ),
        )

    def test_calls(self):
        key = (("Idempotency-Key", new_key()),)
        old = (("Idempotency-Key", new_key(7200)),)
        dated = (
            ("Idempotency-Key", "order-7"),
            ("Idempotency-Date", "Tue, 01 Dec 2026 00:00:00 GMT"),
        )
        ticket = Client("clinic-1").ticket(self.address)
        self.check(
            "calls",
            self.post("/booking/read", "any slots?"),
            self.post("/booking/slot", "no key"),
            self.post("/booking/slot", "slot 9", headers=key),
            self.post("/booking/slot", "slot 9", headers=key),
            self.post("/booking/slot", "slot 8", headers=key),
            self.post("/booking/slot", "slot 9", headers=old),
            self.post("/booking/slot", "slot 9", headers=dated),
            self.post("/booking/slot", "slot 9", headers=(*key, ("Retry-Token", "x"))),
            self.post("/v1/tickets", ""),
            self.post("/booking/slot", "slot 7", headers=(("Idempotency-Key", ticket),)),
            self.post("/booking/slot", "slot 7", headers=(("Idempotency-Key", ticket),)),
            self.post(
                "/booking/slot",
                "slot 7",
                headers=(("Idempotency-Key", ticket),),
                workspace="clinic-2",
            ),
            self.post("/booking/slot", "s", headers=(("Idempotency-Key", "ticket:x"),)),
            self.post("/nowhere", "x"),
        )

    def test_health(self):
        self.check(
            "health",
            Exchange("GET", "/healthz", workspace=""),
            Exchange("GET", "/readyz", workspace=""),
            Exchange("GET", "/operator/nothing", workspace=""),
        )

    def test_slow_and_half_closed_senders_get_an_error_and_affect_no_other_caller(self):
        slow = Exchange("POST", "/v1/completions", "{", length=100).to_bytes(self.address)
        answer = exchange_raw(self.address, slow)
        self.assertIn(b"did not arrive within 1 s", answer)
        cut = exchange_raw(self.address, slow, half_closes=True)
        self.assertIn(b"the body ended after 1 of 100 bytes", cut)
        exchange_raw(self.address, b"GET / HTTP/1.1\r\nHo", half_closes=True)
        exchange_raw(self.address, b"\x00\xff garbage\r\n\r\n", half_closes=True)
        result = Client("clinic-2").prompt(self.address, "still here", 2)
        self.assertTrue(result.complete)

    def test_injected_header_reaches_no_service(self):
        value = "x\r\n Workspace: clinic-2\r\nInjected: yes"
        headers = (("Note", value),)
        exchange_raw(
            self.address,
            Exchange("POST", "/booking/read", "injected", headers).to_bytes(self.address),
        )
        runs = [run for run in self.fleet.runs() if run.body == "injected"]
        self.assertTrue(all(run.workspace == "clinic-1" for run in runs))


if __name__ == "__main__":
    unittest.main()
