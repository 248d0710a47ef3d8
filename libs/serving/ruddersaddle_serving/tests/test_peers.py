"""Tests of messages between hosts, over real sockets."""

import unittest
from unittest import mock

import eventlet
from msgspec import Raw
from msgspec.structs import replace
from ruddersaddle_base.codecs import encode_msgpack
from ruddersaddle_base.failures import Failure
from ruddersaddle_standins.port_blocks import free_ports

from ruddersaddle_serving import peers
from ruddersaddle_serving.peers import RECEIVES_PER_TURN, Peers


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.received: list[str | int] = []
        addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
        self.asking, self.answering = (
            Peers(each, self.handle, str | int, (str,)) for each in addresses
        )
        for each in (self.asking, self.answering):
            each.start()
            self.addCleanup(each.keep_only, set())

    def handle(self, message: str | int) -> str | int:
        self.received.append(message)
        if message == "bad":
            raise ValueError(message)
        if isinstance(message, int):
            eventlet.sleep(0.01)
        return message

    def ask(self, message: str | int) -> object:
        return self.asking.ask(self.answering.address, message, 3.0)

    def test_both_kinds_of_messages_are_answered(self) -> None:
        """The first answer also finds no connection back to the asking host."""
        for message in ("immediate", 1):
            self.assertEqual(self.ask(message), message)

    def test_answer_that_came_while_the_loop_was_blocked_counts(self) -> None:
        """A busy host took all others for unresponsive, and itself for the reader of each hall."""
        self.ask("first")
        send = self.answering._send_data

        def send_and_block(*arguments: object) -> bool:
            is_sent = send(*arguments)
            eventlet.patcher.original("time").sleep(0.3)
            return is_sent

        with mock.patch.object(self.answering, "_send_data", send_and_block):
            answer = self.asking.ask(self.answering.address, "next", 0.1)
        self.assertEqual(answer, "next")

    def test_question_without_an_answer_fails(self) -> None:
        self.ask("first")
        with mock.patch.object(self.answering, "_send_data", return_value=False):
            answer = self.asking.ask(self.answering.address, "next", 0.1)
        self.assertIsInstance(answer, Failure)

    def test_message_that_can_not_be_handled_ends_no_receiving(self) -> None:
        self.ask("first")
        with self.assertLogs("ruddersaddle_serving.peers", "ERROR"):
            self.asking.send(self.answering.address, "bad")
            self.assertEqual(self.ask("next"), "next")

    def test_message_that_raises_as_it_is_read_ends_no_receiving(self) -> None:
        """The host was deaf to its hall until it was restarted."""
        self.ask("first")
        with (
            self.assertLogs("ruddersaddle_base.tasks", "ERROR") as logs,
            mock.patch.object(peers, "decode_msgpack", side_effect=RecursionError("too deep")),
        ):
            self.asking.send(self.answering.address, "one")
            eventlet.sleep(0.2)
        self.assertIn("Task messages failed", logs.output[0])
        self.assertEqual(self.ask("next"), "next")

    def test_nested_message_is_refused_and_ends_no_receiving(self) -> None:
        self.ask("first")
        socket = self.asking._socket_by_address[self.answering.address]
        sound = self.asking._wrap(0, False, "one")
        nested = b"\x91" * 60_000 + b"\xc0"
        with self.assertLogs("ruddersaddle_serving.peers", "WARNING") as logs:
            socket.send(nested)
            socket.send(encode_msgpack({"sender": "x", "more": 1})[:-1] + nested)
            socket.send(encode_msgpack(replace(sound, message=Raw(nested))))
            eventlet.sleep(0.2)
        self.assertEqual(len(logs.records), 3)
        self.assertEqual(self.ask("next"), "next")

    def test_malformed_address_raises_in_the_task_that_sends(self) -> None:
        for address in ("10.0.0.1", "10.0.0.1:99999", "", "\x00:1", "10.0.0.1:80/x"):
            with self.subTest(address=address):
                self.assertIsInstance(self.asking.ask(address, "next", 0.1), Failure)
                self.asking.send(address, "next")

    def test_many_messages_keep_no_other_task_from_running(self) -> None:
        self.ask("first")
        for _ in range(4 * RECEIVES_PER_TURN):
            self.asking.send(self.answering.address, "one")
        # The messages arrive while no task of this process runs.
        eventlet.patcher.original("time").sleep(0.3)
        counts = []
        while len(self.received) < 4 * RECEIVES_PER_TURN:
            eventlet.sleep(0)
            counts.append(len(self.received))
        self.assertGreater(len(set(counts)), 2)


if __name__ == "__main__":
    unittest.main()
