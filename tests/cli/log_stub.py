"""A stub of the log service and of a node's status on a loopback address, with faults."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class LogStub(ThreadingHTTPServer):
    """Serves the log's protocol and, under `/control/status`, one node's status.

    The next `lose_answers` appends take effect but get no answer; the next `refuse` appends fail
    without effect. While `down` is set, every log request fails.
    """

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.streams: dict[str, list[dict[str, Any]]] = {}
        self.status: dict[str, Any] = {}
        self.lose_answers = 0
        self.refuse = 0
        self.down = False
        self.url = f"http://127.0.0.1:{self.server_port}"
        self._thread = threading.Thread(target=self.serve_forever, args=(0.02,))
        self._thread.start()

    def close(self) -> None:
        self.shutdown()
        self._thread.join()
        self.server_close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: LogStub

    def log_message(self, format: str, *arguments: object) -> None:
        pass

    def do_GET(self) -> None:
        parts = urlsplit(self.path)
        if parts.path == "/control/status":
            self._answer(200, self.server.status)
        elif self.server.down:
            self._answer(503, {})
        else:
            query = {key: int(value[0]) for key, value in parse_qs(parts.query).items()}
            records = self.server.streams.get(parts.path.split("/")[2], [])
            found = records[query["offset"] : query["offset"] + query["limit"]]
            self._answer(200, {"records": found, "head": len(records)})

    def do_POST(self) -> None:
        body = json.loads(self.rfile.read(int(self.headers["content-length"])))
        if self.server.down or self.server.refuse > 0:
            self.server.refuse -= 1
            self._answer(503, {})
            return
        records = self.server.streams.setdefault(self.path.split("/")[2], [])
        offsets = range(len(records), len(records) + len(body["records"]))
        records += [{"offset": n, **each} for n, each in zip(offsets, body["records"], strict=True)]
        if self.server.lose_answers > 0:
            self.server.lose_answers -= 1
            self.close_connection = True
            return
        self._answer(200, {"offsets": list(offsets)})

    def _answer(self, status: int, body: object) -> None:
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("content-length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
