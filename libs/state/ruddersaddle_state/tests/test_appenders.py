"""Tests of group commit with a fake log client."""

import unittest

import eventlet
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import CallKey, RecordId

from ruddersaddle_state.appenders import Appender
from ruddersaddle_state.records import Batch, Stream, Void

LIMIT_S = 10
LOST = Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "log", "lost", Ran.UNKNOWN)
REFUSED = Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "log", "refused", Ran.NOT_RUN)


def record(name: str) -> Void:
    return Void(RecordId(name), CallKey("w/k"), RecordId("a"), 0.0)


class FakeClient:
    address = "log"

    def __init__(self, *replies: int | Failure) -> None:
        self.replies = list(replies)
        self.batches: list[Batch] = []

    def append(self, stream: Stream, batch: Batch) -> int | Failure:
        self.batches.append(batch)
        eventlet.sleep(0)
        return self.replies.pop(0) if self.replies else len(self.batches)


class AppenderTest(unittest.TestCase):
    def start(self, *replies):
        client = FakeClient(*replies)
        appender = Appender(client, Stream.CLAIMS)
        appender.start()
        return client, appender

    def await_true(self, condition):
        with eventlet.Timeout(LIMIT_S):
            while not condition():
                eventlet.sleep(0.01)

    def test_pending_records_are_appended_in_one_batch(self):
        client, appender = self.start()
        for name in "abc":
            appender.post(record(name))
        self.await_true(lambda: appender.records == 3)
        self.assertEqual(len(client.batches), 1)

    def test_only_a_refused_append_calls_back(self):
        not_appended = []
        _, appender = self.start(LOST, REFUSED)
        appender.post(record("lost"), not_appended.append)
        self.await_true(lambda: appender.appends == 1)
        appender.post(record("refused"), not_appended.append)
        self.await_true(lambda: appender.appends >= 2)
        self.assertEqual(not_appended, ["refused"])

    def test_a_withdrawn_record_is_not_sent(self):
        client, appender = self.start()
        kept, dropped = record("kept"), record("dropped")
        appender.post(dropped)
        appender.post(kept)
        appender.withdraw(dropped)
        self.await_true(lambda: appender.records == 1)
        self.assertEqual(client.batches[0].records, (kept,))

    def test_an_appender_that_was_down_recovers_without_new_records(self):
        _, appender = self.start(LOST, LOST, LOST)
        appender.post(record("a"))
        self.await_true(lambda: appender.down)
        self.await_true(lambda: not appender.down)


if __name__ == "__main__":
    unittest.main()
