"""While a node exits, each call is answered or its connection refused; none is aborted."""

from __future__ import annotations

import signal
import threading

import httpx

from tests.node.test_process import NodeProcess

CALLERS = 8
PAUSE_SECONDS = 0.002


class ExitTest(NodeProcess):
    def test_no_request_is_aborted_by_a_planned_stop(self) -> None:
        self.wait_ready()
        cuts: list[str] = []
        refused = threading.Barrier(CALLERS + 1)
        answered = [0] * CALLERS

        def ask_until_refused(number: int, pooled: bool) -> None:
            question = {"model": "qari", "tenant": "archive", "prompt": "echo"}
            pause = threading.Event()
            limits = httpx.Limits(max_keepalive_connections=1 if pooled else 0)
            with httpx.Client(base_url=f"http://{self.listen}", limits=limits) as client:
                while True:
                    try:
                        client.post("/v1/completions", json=question)
                        answered[number] += 1
                    except (httpx.ConnectError, httpx.ConnectTimeout):
                        break
                    except httpx.TransportError as error:
                        cuts.append(repr(error))
                    pause.wait(PAUSE_SECONDS)
            refused.wait()

        threads = [
            threading.Thread(target=ask_until_refused, args=(number, number % 2 == 0))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        while min(answered) < 3:
            self.assertIsNone(self.process.poll())
        self.process.send_signal(signal.SIGTERM)
        refused.wait()
        for thread in threads:
            thread.join()
        self.process.communicate()
        self.assertEqual([], cuts)
        self.assertEqual(0, self.process.returncode)
