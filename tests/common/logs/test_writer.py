"""Lines are buffered for a slow reader, and writing never blocks."""

from __future__ import annotations

import os
from collections.abc import Callable

import testtools

from stagewalk.common.logs.writer import MAXIMUM_BUFFERED_BYTES, MAXIMUM_WRITE_BYTES, LineWriter


class LineWriterTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)

    def close_writer(self) -> None:
        os.close(self.descriptor)

    def read_all(self) -> str:
        os.close(self.descriptor)
        parts = []
        while part := os.read(self.reader, 1 << 16):
            parts.append(part)
        return b"".join(parts).decode()

    def test_lines_are_written_completely_and_in_order(self) -> None:
        writer = LineWriter(self.descriptor)
        lines = [f"line {number} {'x' * (number * 37 % 900)}\n" for number in range(60)]
        for line in lines:
            self.assertTrue(writer.write(line))
        self.assertEqual("".join(lines), self.read_all())

    def test_lines_of_one_iteration_are_written_together(self) -> None:
        scheduled: list[Callable[[], None]] = []
        writer = LineWriter(self.descriptor, scheduled.append)
        for number in range(5):
            writer.write(f"{number}\n")
        self.assertEqual(1, len(scheduled))
        scheduled[0]()
        self.assertEqual(0, writer.buffered_bytes)
        writer.write("5\n")
        self.assertEqual(2, len(scheduled))
        scheduled[1]()
        self.assertEqual("0\n1\n2\n3\n4\n5\n", self.read_all())

    def test_a_stalled_reader_does_not_block_the_writer(self) -> None:
        self.addCleanup(self.close_writer)
        writer = LineWriter(self.descriptor)
        line = "x" * 999 + "\n"
        accepted = sum(writer.write(line) for _ in range(3_000))
        self.assertLess(accepted, 3_000)
        self.assertLessEqual(writer.buffered_bytes, MAXIMUM_BUFFERED_BYTES)
        os.read(self.reader, 1 << 20)
        self.assertTrue(writer.write(line))

    def test_a_line_longer_than_one_write_is_written_completely(self) -> None:
        writer = LineWriter(self.descriptor)
        line = "y" * (3 * MAXIMUM_WRITE_BYTES + 17) + "\n"
        writer.write(line)
        self.assertEqual(0, writer.buffered_bytes)
        self.assertEqual(line, self.read_all())

    def test_lines_without_a_reader_are_dropped(self) -> None:
        reader, descriptor = os.pipe()
        self.addCleanup(self.close_writer)
        self.addCleanup(os.close, descriptor)
        os.close(reader)
        writer = LineWriter(descriptor)
        self.assertTrue(writer.write("nobody\n"))
        self.assertEqual(0, writer.buffered_bytes)
