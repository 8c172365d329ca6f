from pathlib import Path

import msgspec
import testtools

from stagewalk.bench import capacity_model as model
from stagewalk.bench import planned_load as planned
from stagewalk.bench.capacity_data import CapacityData, SizeMeasurement, UnitCost, load
from stagewalk.bench.capacity_page import with_generated

DOCS = Path(__file__).resolve().parent.parent.parent / "docs"


def size(nodes: int, cpu_percent: float, complete: bool = True) -> SizeMeasurement:
    return SizeMeasurement(
        nodes=nodes,
        complete=complete,
        join_seconds=1.0,
        join_cpu_seconds=0.1,
        cpu_percent=cpu_percent,
        messages_out=4.0,
        bytes_out=400.0,
        bytes_in=400.0,
        engine_polls=16.0,
        machine_list_reads=0.5,
        log_reads=0.5,
        resident_kilobytes=500.0 + nodes,
        detection_seconds=5.0,
        last_detection_seconds=6.0,
        in_force_seconds=0.1,
        relayed_in_force_seconds=1.0,
    )


def unit(name: str, cpu_microseconds: float = 100.0) -> UnitCost:
    return UnitCost(name=name, unit="x", cpu_microseconds=cpu_microseconds, cpu_error=1.0)


class CommittedPageTest(testtools.TestCase):
    def test_the_page_shows_the_committed_measurements(self) -> None:
        data = load(DOCS / "capacity.json")
        assert data is not None
        page = (DOCS / "CAPACITY.md").read_text()
        self.assertEqual(with_generated(page, data), page)

    def test_every_part_was_measured(self) -> None:
        data = load(DOCS / "capacity.json")
        assert data is not None
        self.assertGreaterEqual(len(model.complete_sizes(data)), model.MINIMUM_POINTS)
        self.assertIsNotNone(model.control_total(data).cpu_percent)
        self.assertIsNotNone(model.control_total(data).memory_megabytes)
        self.assertIsNotNone(data.edge)
        self.assertTrue(data.faults)


class CapacityModelTest(testtools.TestCase):
    def test_an_incomplete_size_is_left_out_of_the_lines(self) -> None:
        sizes = (size(10, 1.0), size(20, 1.1), size(30, 1.2), size(40, 9.0, complete=False))
        data = CapacityData(measured_at="", machine="", sizes=sizes)
        line = model.line_of(data, "cpu_percent")
        assert line is not None
        self.assertAlmostEqual(0.01, line.slope)
        self.assertAlmostEqual(0.9 + 0.01 * planned.NODES, line.at(planned.NODES))

    def test_a_measurement_at_the_planned_size_takes_precedence_over_the_line(self) -> None:
        sizes = (size(10, 1.0), size(20, 1.1), size(30, 1.2), size(planned.NODES, 2.5))
        data = CapacityData(measured_at="", machine="", sizes=sizes)
        self.assertEqual(2.5, model.planned_value(data, "cpu_percent"))

    def test_a_missing_unit_leaves_the_total_not_measured(self) -> None:
        names = ("engine_poll", "machine_list_read", "machine_list_row", "configuration_record")
        data = CapacityData(
            measured_at="",
            machine="",
            sizes=(size(10, 1.0), size(20, 1.1), size(30, 1.2)),
            units=tuple(unit(name) for name in names),
        )
        self.assertIsNone(model.control_total(data).cpu_percent)
        whole = msgspec.structs.replace(data, units=(*data.units, unit("log_read")))
        self.assertIsNotNone(model.control_total(whole).cpu_percent)

    def test_the_page_marks_a_control_total_over_its_limit(self) -> None:
        data = CapacityData(
            measured_at="",
            machine="",
            sizes=(size(10, 9.0), size(20, 9.0), size(30, 9.0)),
            units=tuple(
                unit(name, 0.0)
                for name in (
                    "engine_poll",
                    "machine_list_read",
                    "machine_list_row",
                    "configuration_record",
                    "log_read",
                )
            ),
        )
        self.assertIn("| 9.00 | 3.5 | **over, 2.6 times** |", with_generated("", data))
