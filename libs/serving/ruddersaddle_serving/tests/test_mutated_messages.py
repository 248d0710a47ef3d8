"""Fuzzing of messages between hosts: sound ones with some bytes changed."""

import contextlib
import sys
import unittest
from random import Random
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import encode_msgpack
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, StoreId, UpstreamId
from ruddersaddle_base.tests.document_mutations import mutate_document

from ruddersaddle_serving.crash_records import Crash, CrashRecord
from ruddersaddle_serving.crash_shares import CrashUpdate
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord
from ruddersaddle_serving.neighbour_messages import (
    NeighbourMessage,
    Ping,
    StateRequest,
    StateUpdate,
)
from ruddersaddle_serving.neighbours import IMMEDIATE_TYPES
from ruddersaddle_serving.part_updates import (
    KnownRevision,
    PartsRequest,
    PartsUpdate,
    StoreLost,
    StoreUpdate,
)
from ruddersaddle_serving.peers import Envelope, Peers
from ruddersaddle_serving.ports import ModelVersion, StoreChange, StorePosition
from ruddersaddle_serving.prompts import PartId
from ruddersaddle_serving.publications import NamingAge
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.tests.test_neighbours import make_neighbours
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance

ROUNDS = 3000
"""Mutated messages."""
ENTRY = UpstreamEntry(
    UpstreamId("e-1"), PoolId("p"), "10.0.0.1:80", HallId("a"), 8, False, {ModelId("m"): 1}, 1000
)
INSTANCE = UpstreamInstance(UpstreamId("e-2"), 1000)
RECORD = HostRecord("10.0.0.1:1", HallId("a"))
CHANGE = StoreChange("m/1", PartId("a"), 500)
MESSAGES = (
    Ping(),
    StateRequest(HostId("host-1"), RECORD, 3, 17, 4, -1),
    StateUpdate(
        age_s=0.1,
        end=7,
        named=(ModelVersion(ModelId("m"), 2),),
        published=PublishedConfiguration(4, (), ()),
        entries=(ENTRY,),
        entries_digest=5,
        entries_age_s=0.1,
        entries_end=StorePosition(1, 9),
        hosts={HostId("host-1"): RECORD},
        namings=(NamingAge(ModelId("m"), 2, 1.0, 2.0),),
        crashes=(CrashRecord(Fingerprint("f"), (INSTANCE,), 1000),),
        cleared=(Fingerprint("g"),),
        crashes_age_s=0.1,
        gone=(INSTANCE,),
        leaving=(INSTANCE,),
    ),
    CrashUpdate("10.0.0.1:1", (Crash(INSTANCE, (Fingerprint("f"),)),), ()),
    PartsRequest((KnownRevision(StoreId("s"), 3),)),
    PartsUpdate((StoreUpdate(StoreId("s"), 1, 2, 3, 0.1, 5000.0, 500, True, (CHANGE,)),)),
    StoreLost(StoreId("s")),
)


def mutate_bytes(data: bytes, random: Random) -> bytes:
    """Replace, insert, remove or repeat some bytes."""
    for _ in range(random.choice((1, 1, 2, 4))):
        at = random.randrange(len(data))
        length = random.choice((0, 1, 1, 4))
        more = random.choice((b"", random.randbytes(1), random.randbytes(4), data[at : at + 6]))
        data = data[:at] + more + data[at + length :]
    return data or b"\x00"


def mutate_values(data: bytes, random: Random) -> bytes:
    """Replace or remove some values of the message in an envelope."""
    envelope = msgspec.msgpack.decode(data)
    while True:
        mutated = {**envelope, "message": mutate_document(envelope["message"], random)}
        with contextlib.suppress(OverflowError):
            return encode_msgpack(mutated)


class MutatedMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.neighbours = make_neighbours(HostId("host-0"))
        self.handled = 0
        self.peers = Peers("127.0.0.1:1", self.handle, NeighbourMessage, IMMEDIATE_TYPES)
        send = mock.patch.object(self.peers, "_send_envelope", return_value=True)
        send.start()
        self.addCleanup(send.stop)

    def handle(self, message: NeighbourMessage) -> NeighbourMessage:
        self.handled += 1
        if isinstance(message, StateUpdate):
            self.neighbours._apply_state("10.0.0.1:1", message, clocks.now_s())
        return self.neighbours._handle(message)

    def test_mutated_message_ends_the_receiving_of_all_others(self) -> None:
        with mock.patch("eventlet.spawn", lambda task, *arguments: task(*arguments)):
            for number in range(ROUNDS):
                message = self.random.choice(MESSAGES)
                envelope = Envelope("127.0.0.1:2", 1, False, msgspec.Raw(encode_msgpack(message)))
                data = self.random.choice((mutate_bytes, mutate_values))(
                    encode_msgpack(envelope), self.random
                )
                with self.subTest(number=number, data=data):
                    self.peers._receive(data)
        self.assertGreater(self.handled, ROUNDS / 20)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        ROUNDS = int(sys.argv.pop())
    unittest.main()
