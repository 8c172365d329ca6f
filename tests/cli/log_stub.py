"""A tiny log service and node status on a loopback address, with faults."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class LogStub:
    """Serves the log's protocol and, under `/control/status`, one node's status.

    Attributes
    ----------
    lose_answers, refuse
        So many of the next appends take effect without an answer, or fail without effect.
    down
        Everything fails.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[dict[str, Any]]] = {}
        self.status: dict[str, Any] = {}
        self.lose_answers = 0
        self.refuse = 0
        self.down = False
        stub = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *arguments: object) -> None:
                pass

            def do_GET(self) -> None:
                stub.get(self)

            def do_POST(self) -> None:
                stub.post(self)

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.02,))
        self._thread.start()

    def close(self) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        parts = urlsplit(handler.path)
        if parts.path == "/control/status":
            self._answer(handler, 200, self.status)
        elif self.down:
            self._answer(handler, 503, {})
        else:
            query = {key: int(value[0]) for key, value in parse_qs(parts.query).items()}
            records = self.streams.get(parts.path.split("/")[2], [])
            found = records[query["offset"] : query["offset"] + query["limit"]]
            self._answer(handler, 200, {"records": found, "head": len(records)})

    def post(self, handler: BaseHTTPRequestHandler) -> None:
        body = json.loads(handler.rfile.read(int(handler.headers["content-length"])))
        if self.down or self.refuse > 0:
            self.refuse -= 1
            self._answer(handler, 503, {})
            return
        records = self.streams.setdefault(handler.path.split("/")[2], [])
        offsets = []
        for record in body["records"]:
            offsets.append(len(records))
            records.append({"offset": len(records), **record})
        if self.lose_answers > 0:
            self.lose_answers -= 1
            handler.close_connection = True
            return
        self._answer(handler, 200, {"offsets": offsets})

    @staticmethod
    def _answer(handler: BaseHTTPRequestHandler, status: int, body: object) -> None:
        content = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("content-length", str(len(content)))
        handler.end_headers()
        handler.wfile.write(content)
