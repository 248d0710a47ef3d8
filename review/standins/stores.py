"""A stand-in of the platform's metadata store: a log with topics, over HTTP."""

import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

LENGTH = struct.Struct(">I")
END_AND_FIRST = struct.Struct(">QQ")
ITEMS_MAX = 500


class MetadataStore(ThreadingHTTPServer):
    """Keeps all records in memory; its answers are linearizable."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip: str) -> None:
        super().__init__((ip, 0), _Handler)
        self.address = f"{ip}:{self.server_address[1]}"
        self.log_by_topic: dict[str, list[bytes]] = {}
        self.changed = threading.Condition()
        self.turns_away = False
        """Whether hosts get 503; the operator and the runners are served."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore callers that close their connections."""

    def put(self, topic: str, key: str, value: object | None) -> float:
        """Write a record as an operator or a runner does; return the time of the acknowledgement.

        A record without a value drops the key.
        """
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + data)
        return time.monotonic()

    def append(self, topic: str, record: bytes) -> None:
        """Append one record."""
        with self.changed:
            self.log_by_topic.setdefault(topic, []).append(record)
            self.changed.notify_all()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: MetadataStore

    def log_message(self, *args: object) -> None:
        pass

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.server.turns_away:
            self._send(503)
            return
        match parts.path:
            case "/log-newest":
                self._newest(query)
            case "/log-read":
                self._read(query)
            case "/log-append":
                self._append(query, body)
            case _:
                self._send(404)

    do_GET = do_POST = _serve  # noqa: N815

    def _send(self, status: int, body: bytes = b"") -> None:
        self.send_response(status)
        self.send_header("Store-Era", "1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _send_json(self, value: object, status: int = 200) -> None:
        self._send(status, json.dumps(value).encode())

    def _newest(self, query: dict[str, str]) -> None:
        with self.server.changed:
            log = list(self.server.log_by_topic.get(query["topic"], ()))
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(log):
            split = 1 + record[0]
            newest[record[1:split].decode()] = (record[split:], offset)
        after = query.get("after", "")
        found = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [
            {
                "tls_key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in found[:ITEMS_MAX]
        ]
        self._send_json({"items": items, "more": len(found) > ITEMS_MAX, "end": len(log)})

    def _read(self, query: dict[str, str]) -> None:
        since = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.server.changed:
            while True:
                log = self.server.log_by_topic.get(query["topic"], [])
                left_s = until - time.monotonic()
                if len(log) != since or left_s <= 0:
                    break
                self.server.changed.wait(left_s)
            end, found = len(log), log[since:]
        if since > end:
            self._send_json({"first": 0}, 410)
            return
        packed = b"".join(LENGTH.pack(len(record)) + record for record in found)
        self._send(200, END_AND_FIRST.pack(end, 0) + packed)

    def _append(self, query: dict[str, str], body: bytes) -> None:
        records = []
        while body:
            (length,) = LENGTH.unpack_from(body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self.server.changed:
            log = self.server.log_by_topic.setdefault(query["topic"], [])
            offset = len(log)
            is_conflict = "at" in query and int(query["at"]) != offset
            if not is_conflict:
                log.extend(records)
                self.server.changed.notify_all()
            end = len(log)
        if is_conflict:
            self._send_json({"end": end}, 412)
        else:
            self._send_json({"offset": offset, "end": end})
