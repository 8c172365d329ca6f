"""Whatever a caller sends, the gateway's process goes on, and refuses or serves it as it is.

FUZZ_SECONDS sets how long each kind of input is tried, on fresh seeds (`make fuzz SECONDS=600`);
without it each kind gets a fixed number of examples from a fixed seed.
"""

from __future__ import annotations

import base64
import functools
import json
import os
import random
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

import testtools
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.fuzz.site import FuzzSite, running_site
from tests.soak.workers import answer_to, text_of

EXAMPLES = 60
SEED = 20_261_204
LISTED_SECONDS = 25.0
"""How long a batch that was accepted may take."""

FUZZ_SECONDS = float(os.environ.get("FUZZ_SECONDS", "0"))
BAD_REQUEST, ACCEPTED, OK = 400, 202, 200
REFUSALS = (BAD_REQUEST, 404, 405, 408, 411, 413, 414, 415, 417, 431, 501, 505)

text = st.text(max_size=12)
visible = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=16)
token = st.text("abcxyzXYZ019!#$%&'*+.^_`|~-", min_size=1, max_size=10)
field_value = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0xFF, blacklist_characters="\x7f"), max_size=20
).map(str.strip)
path_tail = st.text("abcXYZ019-._~!$&'()*+,;=:@%", max_size=20)
"""Characters of a path that go out as they are; others are altered today (issue 61, point 3)."""

item = st.fixed_dictionaries(
    {"id": text, "path": st.one_of(text, path_tail.map(lambda tail: f"/run/{tail}"))},
    optional={
        "headers": st.dictionaries(st.one_of(token, text), st.one_of(visible, text), max_size=3),
        "group": text,
        "body": st.one_of(st.binary(max_size=8).map(lambda b: base64.b64encode(b).decode()), text),
        "scorer": st.fixed_dictionaries(
            {
                "id": text,
                "host": st.one_of(st.just("h.example"), text),
                "path": st.one_of(st.just("/score/x"), text),
            }
        ),
    },
)


def fuzzed(test: Callable[..., None]) -> Callable[..., None]:
    """Run a test on the examples of a fixed seed, or on those of fresh seeds for `FUZZ_SECONDS`."""
    configured = settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )(test)
    if not FUZZ_SECONDS:
        return seed(SEED)(configured)

    @functools.wraps(test)
    def run(self: WireTests) -> None:
        ends_at = time.monotonic() + FUZZ_SECONDS
        while time.monotonic() < ends_at:
            number = random.randrange(1_000_000)
            try:
                seed(number)(configured)(self)
            except BaseException as error:
                error.add_note(f"seed {number}")
                raise

    return run


class WireTests(testtools.TestCase):
    """Inputs of several kinds, to one process."""

    site: FuzzSite
    _resources: ExitStack

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls._resources = ExitStack()
        directory = Path(cls._resources.enter_context(tempfile.TemporaryDirectory()))
        cls.site = cls._resources.enter_context(running_site(directory, SEED))

    @classmethod
    def tearDownClass(cls) -> None:
        cls._resources.close()
        super().tearDownClass()

    def setUp(self) -> None:
        super().setUp()
        self._requests = 0

    def next_name(self) -> str:
        self._requests += 1
        return f"{self.id().rpartition('.')[2]}-{self._requests}"

    def check_alive(self, detail: object) -> None:
        """Check that the process lives and serves other requests whole."""
        self.assertTrue(self.site.is_alive, detail)
        name = self.next_name()
        answer = self.site.request("POST", "/ask/x", b"beside", x_request_id=name)
        self.assertEqual((OK, answer_to(name, b"beside")), (answer.status, answer.body), detail)

    @fuzzed
    @given(st.binary(max_size=200), st.booleans())
    def test_bytes_that_are_no_request(self, sent: bytes, half_close: bool) -> None:
        answer = self.site.exchange(sent + b"\r\n\r\n", half_close=half_close)
        self.assertIn(answer.status, (None, *REFUSALS), sent)
        self.check_alive(sent)

    @fuzzed
    @given(
        st.sampled_from(("GET", "POST", "PUT", "PATCH", "X-Y")),
        path_tail,
        st.dictionaries(token, field_value, max_size=4),
        st.binary(max_size=64),
        st.booleans(),
    )
    def test_a_forwarded_request_is_refused_or_reaches_its_worker_unaltered(
        self, method: str, tail: str, headers: dict[str, str], body: bytes, half_close: bool
    ) -> None:
        name = self.next_name()
        own = {f"x-f-{field.lower()}": value for field, value in headers.items()}
        lines = [f"{method} /ask/{tail} HTTP/1.1", "host: h.example", f"x-request-id: {name}"]
        lines += [f"{field}: {value}" for field, value in own.items()]
        lines += [f"content-length: {len(body)}", "", ""]
        sent = "\r\n".join(lines).encode("latin-1") + body
        answer = self.site.exchange(sent, half_close=half_close)
        if not half_close:
            self.assertIn(answer.status, (OK, *REFUSALS), sent)
        if answer.status == OK:
            call = self.site.received.calls[name]
            self.assertEqual((method, body), (call.method, call.body))
            self.assertEqual(answer_to(name, body), answer.body)
            for field, value in own.items():
                self.assertEqual(value, call.headers[field.lower()], sent)
        self.check_alive(sent)

    @fuzzed
    @given(st.lists(item, max_size=3))
    def test_a_batch_is_refused_by_name_or_run_to_its_end(self, items: list[dict]) -> None:
        batch, good = self.next_name(), self.next_name()
        valid = {"id": good, "path": f"/run/{good}", "headers": {"X-Model": "m"}}
        content = json.dumps({"model": "m", "min_version": 0, "items": [valid, *items]}).encode()
        answer = self.site.request("POST", "/run/x", content, x_request_id=batch)
        self.assertIn(answer.status, (ACCEPTED, BAD_REQUEST, 503), content)
        if answer.status == BAD_REQUEST:
            self.assertNotEqual("", json.loads(answer.body)["error"])
        if answer.status == ACCEPTED:
            self.assertEqual(text_of(good), self.result(batch, good), content)
            self.site.request("DELETE", f"/-/lots/{batch}")
        self.check_alive(content)

    @fuzzed
    @given(st.binary(max_size=200))
    def test_a_body_that_is_no_batch_is_refused(self, content: bytes) -> None:
        answer = self.site.request("POST", "/run/x", content, x_request_id=self.next_name())
        self.assertEqual(BAD_REQUEST, answer.status, content)
        self.check_alive(content)

    def result(self, batch: str, item_id: str) -> str | None:
        """Return the text of an item once it is listed; None if that takes too long."""
        until = time.monotonic() + LISTED_SECONDS
        while time.monotonic() < until:
            answer = self.site.request("GET", f"/-/lots/{batch}?after_rev=0")
            if answer.status == OK:
                for row in json.loads(answer.body)["results"]:
                    if row["id"] == item_id:
                        return row["text"]
            time.sleep(0.05)
        return None
