"""Streams are split into complete events; malformed or truncated bytes are rejected."""

from __future__ import annotations

import testtools

from stagewalk_platform.events import EventParser, MalformedEventError


class EventParserTests(testtools.TestCase):
    def test_events_do_not_depend_on_how_the_bytes_are_split(self) -> None:
        stream = b"id: 1\ndata: a\n\nx-weight-versions: 4\nid: 2\ndata: b\ndata: c\n\n"
        for size in range(1, len(stream) + 1):
            parser = EventParser()
            events = []
            for start in range(0, len(stream), size):
                events += parser.feed(stream[start : start + size])
            self.assertEqual([(1, "a", None), (2, "b\nc", 4)], [e[:3] for e in map(_parts, events)])
            self.assertEqual(b"", parser.remainder)

    def test_a_truncated_event_is_the_remainder(self) -> None:
        parser = EventParser()
        self.assertEqual(1, len(parser.feed(b"id: 1\ndata: a\n\nid: 2\nda")))
        self.assertEqual(b"id: 2\nda", parser.remainder)

    def test_malformed_bytes_are_rejected(self) -> None:
        for malformed in (
            b"\xff\xfe\n\n",
            b"garbage\n\n",
            b"data: x\n\n",
            b"id: 1\n\n",
            b"id: z\ndata: a\n\n",
        ):
            self.assertRaises(MalformedEventError, EventParser().feed, malformed)


def _parts(event):
    return event.number, event.data, event.version
