"""Tests of request parsing: any input gives a typed value or a failure."""

import unittest
import uuid

from hypothesis import given, strategies
from ruddersaddle_base.codecs import decode_msgpack
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import START, RecordId, WorkspaceId
from ruddersaddle_base.tests.property_tests import DETERMINISTIC
from ruddersaddle_serving.peers import Envelope
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Template, Value, Workspace, entry_key
from ruddersaddle_state.records import Entry, Snapshot

from ruddersaddle.callers import (
    CompletionBody,
    KeyDate,
    Limits,
    digest_key,
    find_workspace,
    read_completion,
    read_key,
    read_limits,
    read_retry_token,
    render_prompt,
)
from ruddersaddle.tickets import Ticket, is_ticket, parse_ticket

CLINIC = Workspace(WorkspaceId("clinic"), (digest_key("secret"),))


def configured(*values: Value) -> Configuration:
    configuration = Configuration()
    entries = tuple(Entry(entry_key(value), START, value, RecordId("c")) for value in values)
    configuration.adopt(Snapshot(RecordId("s"), START, entries))
    return configuration


class CallerTest(unittest.TestCase):
    def test_a_key_finds_its_workspace_and_no_other(self):
        configuration = configured(CLINIC, Workspace(WorkspaceId("other"), (digest_key("x"),)))
        self.assertEqual(find_workspace(configuration, "Bearer secret"), CLINIC)
        for header in ("", "secret", "Bearer", "Bearer Secret", "Basic secret"):
            self.assertIsInstance(find_workspace(configuration, header), Failure)

    def test_a_template_of_another_workspace_is_unknown(self):
        template = Template("referral", WorkspaceId("other"), "text", ())
        body = CompletionBody("assistant", template="referral")
        found = render_prompt(configured(CLINIC, template), CLINIC, body)
        self.assertIs(found.code, Code.BAD_REQUEST)

    def test_a_body_that_is_nested_too_deeply_is_the_callers_fault(self):
        for body in (
            b'{"model":"m","prompt":"x","more":' + b"[" * 5000 + b"]" * 5000 + b"}",
            b"[" * 60_000,
        ):
            for chat in (False, True):
                found = read_completion(body, chat)
                self.assertIs(found.code, Code.BAD_REQUEST)

    def test_a_parameter_is_inserted_as_text_and_not_substituted_again(self):
        template = Template("t", CLINIC.id, "Dear $name, $day", ("name", "day"))
        body = CompletionBody("m", template="t", parameters={"name": "$day", "day": "$name"})
        text = render_prompt(configured(CLINIC, template), CLINIC, body)
        self.assertEqual(text, "Dear $day, $name")

    def test_prompt_and_answer_of_a_chat_are_a_prefix_of_the_next_turn(self):
        first = read_completion(b'{"model":"m","messages":[{"role":"user","content":"a"}]}', True)
        later = b'{"model":"m","messages":[{"role":"user","content":"a"},'
        later += b'{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}'
        second = read_completion(later, True)
        texts = [render_prompt(configured(CLINIC), CLINIC, body) for body in (first, second)]
        self.assertTrue(texts[1].startswith(texts[0] + "b"))

    def test_keys_contain_their_time_or_need_a_date(self):
        key = uuid.UUID(int=(1_700_000_000_000 << 80) | (7 << 76) | (2 << 62))
        self.assertEqual(read_key({"HTTP_IDEMPOTENCY_KEY": str(key)}).dated, 1_700_000_000.0)
        date = "Tue, 14 Nov 2023 22:13:20 GMT"
        dated = {"HTTP_IDEMPOTENCY_KEY": "order-7", "HTTP_IDEMPOTENCY_DATE": date}
        self.assertEqual(read_key(dated), KeyDate("order-7@1700000000", 1_700_000_000.0))
        for key in ("", "order-7", "a b", "x" * 201, str(uuid.uuid4())):
            self.assertIs(read_key({"HTTP_IDEMPOTENCY_KEY": key}).code, Code.KEY_NOT_DATED)

    @DETERMINISTIC
    @given(strategies.binary(max_size=200), strategies.booleans())
    def test_any_body_gives_a_value_or_a_failure(self, data, chat):
        self.assertIsInstance(read_completion(data, chat), CompletionBody | Failure)

    @DETERMINISTIC
    @given(strategies.text(max_size=60))
    def test_any_header_gives_a_value_or_a_failure(self, text):
        self.assertIsInstance(read_limits({"HTTP_DEADLINE_MS": text}, 1.0), Limits | Failure)
        self.assertIsInstance(read_limits({"HTTP_PRIORITY_CLASS": text}, 1.0), Limits | Failure)
        self.assertIsInstance(read_retry_token({"HTTP_RETRY_TOKEN": text}), int | None | Failure)
        self.assertIsInstance(
            read_key({"HTTP_IDEMPOTENCY_KEY": "k", "HTTP_IDEMPOTENCY_DATE": text}),
            KeyDate | Failure,
        )
        self.assertIsInstance(parse_ticket(text), Ticket | Failure)
        self.assertIsInstance(is_ticket(text), bool)

    @DETERMINISTIC
    @given(strategies.binary(max_size=200))
    def test_any_message_of_a_peer_gives_a_value_or_a_failure(self, data):
        found = decode_msgpack(data, Envelope, Step.PEER, "peer")
        self.assertIsInstance(found, Envelope | Failure)


if __name__ == "__main__":
    unittest.main()
