import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.bench.slopes import fit

COEFFICIENT = st.floats(-1e3, 1e3)


class LineTest(testtools.TestCase):
    @given(COEFFICIENT, COEFFICIENT, st.sets(st.integers(0, 500), min_size=3, max_size=8))
    def test_points_on_a_line_give_that_line(
        self, intercept: float, slope: float, positions: set[int]
    ) -> None:
        places = sorted(positions)
        line = fit(places, [intercept + slope * place for place in places])
        self.assertAlmostEqual(slope, line.slope, places=4)
        self.assertAlmostEqual(intercept + slope * 420, line.at(420), places=2)
        self.assertAlmostEqual(0.0, line.slope_error, places=3)

    def test_the_error_grows_away_from_the_points(self) -> None:
        line = fit([10, 20, 30, 40], [1.0, 2.2, 2.9, 4.1])
        self.assertGreater(line.slope_error, 0.0)
        self.assertGreater(line.error_at(420), line.error_at(25))

    def test_two_points_have_an_infinite_slope_error(self) -> None:
        self.assertEqual(float("inf"), fit([1, 2], [1.0, 2.0]).slope_error)
