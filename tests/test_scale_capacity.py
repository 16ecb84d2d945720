"""The scale tests' own tools: result files, fitted lines and the capacity page."""

from __future__ import annotations

import math
import random
import re
import shutil
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from bench.scale import (
    capacity,
    capacity_rows,
    environment,
    findings,
    numbers_text,
    planned_rows,
    precision,
    results,
    scans,
    worked_out,
)
from bench.scale.capacity_rows import Quantity, Row, SeriesTerm, Verdict, WorkedOutTerm, evaluate
from bench.scale.curves import Catalogue, SeriesName, catalogue_of
from bench.scale.fit import ExtrapolationError, FitError, Growth, LinearFit, fit, growth, hold_back, model
from bench.scale.page import Page, TemplateError
from bench.scale.planned_size import PLANNED
from bench.scale.results import Measurement, ResultFileError
from bench.scale.scan import Scan
from foxlift.config.settings import PeerConfig, PeersConfig
from foxlift.platform import descriptors

ONE = Measurement(
    what="messages out",
    role="director's control",
    size=100,
    unit="messages/s",
    value=5.5,
    error=0.25,
    transport="virtual",
    seed=1,
    version="0123456789",
    machine="4 cores, 8 GiB",
    command="python -m bench.scale.example",
)


ULPS = 4
"""Units in the last place by which another processor's or library's values are taken to differ."""


def times_one_and_a_bit(value: float) -> float:
    return value * (1 + ULPS * math.ulp(1.0))


def times_one_less_a_bit(value: float) -> float:
    return value * (1 - ULPS * math.ulp(1.0))


def plus_ulps(value: float) -> float:
    return value + ULPS * math.ulp(value) if value else value


def less_ulps(value: float) -> float:
    return value - ULPS * math.ulp(value) if value else value


def each_its_own_ulps(value: float) -> float:
    """Up to `ULPS` more or less, another number of them for each value."""
    ulps = random.Random(value).randint(-ULPS, ULPS)
    return value + ulps * math.ulp(value) if value else value


CHANGES_OF_LAST_BITS = (
    times_one_and_a_bit,
    times_one_less_a_bit,
    plus_ulps,
    less_ulps,
    each_its_own_ulps,
)


def in_other_bits(measurements: Iterable[Measurement], change: Callable[[float], float]) -> list[Measurement]:
    return [replace(one, value=change(one.value), error=change(one.error)) for one in measurements]


def shuffled(measurements: Iterable[Measurement], seed: int) -> list[Measurement]:
    ordered = list(measurements)
    random.Random(seed).shuffle(ordered)
    return ordered


def on_line(*points: tuple[int, float], error: float = 0.0) -> list[Measurement]:
    return [replace(ONE, size=size, value=value, error=error) for size, value in points]


class TestResultFiles:
    """Saving, loading and merging of measurements."""

    def test_what_is_saved_is_loaded(self, tmp_path: Path) -> None:
        path = tmp_path / "fleet.json"
        larger = replace(ONE, size=300, transport="loopback", size_unit="connections")
        results.save(path, [larger, ONE])
        assert set(results.load(path)) == {ONE, larger}
        assert [entry.name for entry in tmp_path.iterdir()] == ["fleet.json"]

    def test_a_rerun_replaces_what_it_measured_again(self, tmp_path: Path) -> None:
        path = tmp_path / "fleet.json"
        larger = replace(ONE, size=300)
        results.record(path, [ONE, larger])
        again = replace(ONE, value=6.0, seed=2, version="abcdef0123", command="python -m bench.scale.other")
        assert results.record(path, [again]) == (again, larger)
        assert results.load(path) == (again, larger)

    @pytest.mark.parametrize(
        "other",
        [
            replace(ONE, what="bytes out"),
            replace(ONE, role="register holder"),
            replace(ONE, size=101),
            replace(ONE, size_unit="sessions"),
            replace(ONE, transport="loopback"),
        ],
    )
    def test_each_part_of_the_key_keeps_measurements_apart(self, other: Measurement) -> None:
        assert results.merge([ONE], [other]) in [(ONE, other), (other, ONE)]

    @pytest.mark.parametrize(
        ("field", "bad"),
        [
            ("what", " "),
            ("role", ""),
            ("size", 0),
            ("size", "many"),
            ("unit", ""),
            ("value", "5.5"),
            ("value", None),
            ("error", -0.1),
            ("transport", "ether"),
            ("seed", 1.5),
            ("version", ""),
            ("machine", ""),
            ("command", ""),
        ],
    )
    def test_a_bad_entry_names_file_and_field(self, tmp_path: Path, field: str, bad: object) -> None:
        entry = msgspec.to_builtins(ONE)
        entry[field] = bad
        path = tmp_path / "fleet.json"
        path.write_bytes(msgspec.json.encode([entry]))
        with pytest.raises(ResultFileError) as raised:
            results.load(path)
        assert raised.value.field == field
        assert str(raised.value).startswith(f"{path}: {field}: ")

    def test_a_missing_field_is_named(self, tmp_path: Path) -> None:
        entry = msgspec.to_builtins(ONE)
        del entry["seed"]
        path = tmp_path / "fleet.json"
        path.write_bytes(msgspec.json.encode([entry]))
        with pytest.raises(ResultFileError) as raised:
            results.load(path)
        assert raised.value.field == "seed"

    @pytest.mark.parametrize("content", [b"", b"[", b"{}", b"\xff\xfe", b"[1]"])
    def test_a_file_that_is_no_list_of_measurements_is_named(self, tmp_path: Path, content: bytes) -> None:
        path = tmp_path / "fleet.json"
        path.write_bytes(content)
        with pytest.raises(ResultFileError, match=r"fleet\.json"):
            results.load(path)

    def test_a_file_that_is_not_there_is_named(self, tmp_path: Path) -> None:
        with pytest.raises(ResultFileError, match=r"absent\.json"):
            results.load(tmp_path / "absent.json")

    def test_a_value_that_is_not_finite_is_not_saved(self, tmp_path: Path) -> None:
        path = tmp_path / "fleet.json"
        with pytest.raises(ResultFileError, match="value"):
            results.save(path, [replace(ONE, value=math.nan)])
        assert not path.exists()

    def test_the_same_key_twice_in_a_file_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "fleet.json"
        path.write_bytes(msgspec.json.encode([ONE, replace(ONE, value=7.0)]))
        with pytest.raises(ResultFileError, match="twice"):
            results.load(path)

    def test_the_same_key_in_two_files_names_both(self, tmp_path: Path) -> None:
        results.save(tmp_path / "fleet.json", [ONE])
        results.save(tmp_path / "load.json", [replace(ONE, value=7.0)])
        with pytest.raises(ResultFileError, match=r"load\.json.*fleet\.json"):
            results.load_all(tmp_path)

    def test_files_of_a_directory_come_by_name(self, tmp_path: Path) -> None:
        results.save(tmp_path / "fleet.json", [ONE])
        results.save(tmp_path / "load.json", [replace(ONE, role="director's data path")])
        assert list(results.load_all(tmp_path)) == ["fleet.json", "load.json"]

    def test_the_committed_result_files_load(self) -> None:
        results.load_all()


class TestEnvironment:
    """What a measurement says of where it was made."""

    def test_version_and_machine_fit_a_measurement(self, tmp_path: Path) -> None:
        here = replace(ONE, version=environment.version(), machine=environment.machine())
        results.save(tmp_path / "fleet.json", [here])
        assert here.machine.endswith(" GiB")


class TestFit:
    """The straight line."""

    def test_a_line_is_found_with_its_errors(self) -> None:
        # Textbook case: y = 1, 3, 2, 5 over 1, 2, 3, 4 gives 0.0 + 1.1 x; s^2 = 2.7 / 2.
        line = fit(on_line((1, 1.0), (2, 3.0), (3, 2.0), (4, 5.0)))
        assert line.slope == pytest.approx(1.1)
        assert line.constant == pytest.approx(0.0)
        assert line.scatter == pytest.approx(math.sqrt(1.35))
        assert line.slope_error == pytest.approx(math.sqrt(1.35 / 5))
        assert line.constant_error == pytest.approx(math.sqrt(1.35 * (1 / 4 + 2.5**2 / 5)))

    def test_a_prediction_bears_the_error_of_a_new_measurement(self) -> None:
        line = fit(on_line((1, 1.0), (2, 3.0), (3, 2.0), (4, 5.0)))
        predicted = line.predict(6)
        assert predicted.value == pytest.approx(6.6)
        assert predicted.error == pytest.approx(math.sqrt(1.35 * (1 + 1 / 4 + 3.5**2 / 5)))
        assert predicted.extrapolation_factor == 1.5

    def test_points_that_happen_to_lie_on_a_line_keep_their_own_error(self) -> None:
        line = fit(on_line((1, 1.0), (2, 2.0), (3, 3.0), error=0.3))
        assert line.scatter == pytest.approx(0.3)
        assert line.slope_error == pytest.approx(0.3 / math.sqrt(2))

    def test_two_sizes_are_refused(self) -> None:
        with pytest.raises(FitError, match="2 sizes"):
            fit(on_line((1, 1.0), (2, 2.0)))

    def test_different_quantities_are_refused(self) -> None:
        mixed = [*on_line((1, 1.0), (2, 2.0)), replace(ONE, size=3, transport="loopback")]
        with pytest.raises(FitError, match="transport"):
            fit(mixed)

    def test_extrapolation_over_a_factor_of_20_needs_the_word(self) -> None:
        line = fit(on_line((10, 1.0), (20, 2.0), (30, 3.0)))
        assert not line.predict(600).is_far
        with pytest.raises(ExtrapolationError, match="20 times"):
            line.predict(601)
        with pytest.raises(ExtrapolationError):
            line.predict(0.4)
        far = line.predict(6000, allow_extrapolation=True)
        assert far.is_far
        assert far.value == pytest.approx(600.0)


class TestReliableDigits:
    """What a float cannot say of a fit is 0, and last bits and order change nothing else."""

    EXACT_LINES = (
        tuple((size, 1.91 * size) for size in (100, 300, 1000, 4200)),  # no constant
        tuple((size, 13.0 + 27.1 * size) for size in (100, 300, 1000, 4200)),
        tuple((size, 0.1 + 0.2) for size in (100, 300, 1000)),  # no slope
        tuple((size, 1e-9 * size) for size in (1000, 30_000, 100_000)),
        tuple((size, 0.0) for size in (1, 2, 3)),
    )

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    @pytest.mark.parametrize("points", EXACT_LINES)
    def test_points_on_a_line_have_no_scatter(
        self, points: tuple[tuple[int, float], ...], change: Callable[[float], float]
    ) -> None:
        line = fit(in_other_bits(on_line(*points), change))
        assert (line.scatter, line.constant_error, line.slope_error) == (0.0, 0.0, 0.0)

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_a_line_through_0_has_no_constant(self, change: Callable[[float], float]) -> None:
        line = fit(in_other_bits(on_line(*self.EXACT_LINES[0]), change))
        assert line.constant == 0.0
        assert line.slope == pytest.approx(1.91)

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_a_level_line_has_no_slope(self, change: Callable[[float], float]) -> None:
        line = fit(in_other_bits(on_line(*self.EXACT_LINES[2]), change))
        assert line.slope == 0.0
        assert line.constant == pytest.approx(0.3)

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_an_exact_power_law_has_no_scatter(self, change: Callable[[float], float]) -> None:
        cubes = on_line(*((size, 0.7 * size**3) for size in (10, 20, 40, 70)))
        curve = growth(in_other_bits(cubes, change))
        assert (curve.exponent, curve.exponent_error, curve.scatter) == (3.0, 0.0, 0.0)
        assert curve.coefficient == pytest.approx(0.7)

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_an_exact_power_law_of_exponent_0_is_level(self, change: Callable[[float], float]) -> None:
        curve = growth(in_other_bits(on_line((10, 1.0), (20, 1.0), (40, 1.0)), change))
        assert (curve.exponent, curve.coefficient, curve.scatter) == (0.0, 1.0, 0.0)

    def test_a_prediction_that_cancels_out_is_0(self) -> None:
        line = fit(on_line((1, 0.2), (2, 0.1), (4, -0.1)))
        assert line.predict(3).value == 0.0

    def test_a_held_back_size_that_differs_in_its_last_bits_does_not_deviate(self) -> None:
        measured = on_line(*self.EXACT_LINES[0])
        assert hold_back(measured, 4200).deviation == 0.0

    def test_values_next_to_0_have_no_power_law(self) -> None:
        points = on_line((10, math.ulp(1.0)), (20, 1.0), (40, 8.0))
        assert isinstance(model(points), LinearFit)
        with pytest.raises(FitError, match="above 0"):
            growth(points)

    def test_what_the_measurements_say_is_kept_far_below_the_largest_value(self) -> None:
        line = fit(on_line((1, 1.0), (2, 1.0), (3, 1.0 + 1e-9)))
        assert line.slope == pytest.approx(5e-10, rel=1e-3)
        assert line.scatter > 0

    @pytest.mark.parametrize("seed", range(10))
    def test_any_order_gives_the_same_fit(self, seed: int) -> None:
        points = on_line((1, 0.1), (3, 0.7), (7, 1.1), (20, 3.3), (90, 1e6), (400, 1e-3), error=0.01)
        assert fit(shuffled(points, seed)) == fit(points)
        assert growth(shuffled(points, seed)) == growth(points)


class TestGrowth:
    """The power law, and which of the two is taken."""

    def test_a_square_law_is_found_and_predicted(self) -> None:
        curve = growth(on_line((10, 200.0), (20, 800.0), (40, 3200.0)))
        assert curve.exponent == pytest.approx(2.0)
        assert curve.predict(100).value == pytest.approx(20_000.0)

    def test_the_error_of_a_prediction_is_relative(self) -> None:
        points = [
            replace(ONE, size=size, value=value, error=0.1 * value)
            for size, value in ((10, 200.0), (20, 800.0), (40, 3200.0))
        ]
        predicted = growth(points).predict(20)
        assert predicted.error / predicted.value == pytest.approx(0.1 * math.sqrt(1 + 1 / 3))

    def test_growth_faster_than_the_size_is_no_line(self) -> None:
        assert isinstance(model(on_line((10, 200.0), (20, 800.0), (40, 3200.0))), Growth)

    @pytest.mark.parametrize(
        "points",
        [
            ((10, 1.0), (20, 2.0), (40, 4.0)),  # with the size
            ((10, 10.0), (20, 11.0), (40, 13.0)),  # a constant and a slope
            ((10, 5.0), (20, 5.0), (40, 5.0)),  # not at all
            ((10, 0.0), (20, 0.0), (40, 0.0)),
        ],
    )
    def test_growth_up_to_the_size_is_a_line(self, points: tuple[tuple[int, float], ...]) -> None:
        assert isinstance(model(on_line(*points)), LinearFit)

    def test_noise_alone_is_not_called_superlinear(self) -> None:
        noisy = [replace(one, error=0.5 * one.value) for one in on_line((10, 1.0), (20, 2.6), (40, 6.0))]
        assert isinstance(model(noisy), LinearFit)

    def test_values_of_zero_have_no_power_law(self) -> None:
        with pytest.raises(FitError, match="above 0"):
            growth(on_line((1, 0.0), (2, 1.0), (3, 2.0)))

    def test_extrapolation_needs_the_word_here_too(self) -> None:
        with pytest.raises(ExtrapolationError):
            growth(on_line((10, 200.0), (20, 800.0), (40, 3200.0))).predict(801)


class TestHeldBackSize:
    """A size predicted from the others."""

    def test_predicted_and_measured_stand_side_by_side(self) -> None:
        measured = on_line((1, 1.0), (2, 2.0), (3, 3.0), (10, 14.0), error=1.0)
        held = hold_back(measured, 10)
        assert held.predicted.value == pytest.approx(10.0)
        assert held.measured.value == 14.0
        assert held.deviation == pytest.approx(4.0 / math.hypot(held.predicted.error, 1.0))

    def test_a_size_that_was_not_measured_is_refused(self) -> None:
        with pytest.raises(FitError, match="0 times"):
            hold_back(on_line((1, 1.0), (2, 2.0), (3, 3.0)), 4)

    def test_too_few_other_sizes_are_refused(self) -> None:
        with pytest.raises(FitError, match="2 sizes"):
            hold_back(on_line((1, 1.0), (2, 2.0), (3, 3.0)), 3)

    def test_exact_points_that_miss_are_infinitely_far(self) -> None:
        measured = on_line((1, 1.0), (2, 2.0), (3, 3.0), (4, 5.0))
        assert hold_back(measured, 4).deviation == math.inf


# ---- The page ---------------------------------------------------------------------------------------------
SLOPE = SeriesName(ONE.what, ONE.role, "directors", "virtual")


def catalogue(*points: tuple[int, float], error: float = 0.0) -> Catalogue:
    return catalogue_of({"fleet.json": on_line(*points, error=error)})


def row(
    *terms: capacity_rows.Term, budget: float | None = None, quantity: Quantity = Quantity.MESSAGES
) -> Row:
    return Row("row", "a role", quantity, "something", "/s", terms, budget, "a budget")


class TestRows:
    """What a row is worth, and how it stands to its budget."""

    def test_a_measured_size_counts_as_measured(self) -> None:
        found = evaluate(row(SeriesTerm(SLOPE, 4, 10.0)), catalogue((1, 1.0), (2, 2.0), (4, 5.0), error=0.5))
        assert (found.value, found.error) == (50.0, 5.0)

    def test_another_size_comes_from_the_line(self) -> None:
        found = evaluate(row(SeriesTerm(SLOPE, 8, 2.0)), catalogue((1, 1.5), (2, 2.5), (4, 4.5)))
        assert found.value == pytest.approx(17.0)

    def test_a_cost_of_one_more_leaves_the_constant_out(self) -> None:
        found = evaluate(
            row(SeriesTerm(SLOPE, 8, 2.0, per_unit=True)), catalogue((1, 1.5), (2, 2.5), (4, 4.5))
        )
        assert found.value == pytest.approx(16.0)

    def test_what_grows_faster_than_its_size_has_no_cost_of_one_more(self) -> None:
        squares = catalogue((10, 100.0), (20, 400.0), (40, 1600.0))
        found = evaluate(row(SeriesTerm(SLOPE, 100, per_unit=True)), squares)
        assert found.value == pytest.approx(10_000.0)

    def test_a_series_that_was_not_measured_is_named_and_never_guessed(self) -> None:
        found = evaluate(row(SeriesTerm(SLOPE, 8), budget=10.0), catalogue_of({}))
        assert found.verdict is Verdict.NOT_MEASURED
        assert found.unmeasured == (str(SLOPE),)
        assert not found.has_figure

    def test_two_sizes_are_not_enough_for_another_one(self) -> None:
        two = catalogue((1, 1.0), (2, 2.0))
        assert evaluate(row(SeriesTerm(SLOPE, 8)), two).verdict is Verdict.NOT_MEASURED
        assert evaluate(row(SeriesTerm(SLOPE, 8, per_unit=True)), two).verdict is Verdict.NOT_MEASURED
        assert evaluate(row(SeriesTerm(SLOPE, 2)), two).value == 2.0

    @pytest.mark.parametrize(
        ("budget", "verdict"), [(None, Verdict.NO_BUDGET), (5.0, Verdict.WITHIN), (4.9, Verdict.OVER)]
    )
    def test_a_whole_row_stands_to_its_budget(self, budget: float | None, verdict: Verdict) -> None:
        assert evaluate(row(WorkedOutTerm(5.0, "so"), budget=budget), catalogue_of({})).verdict is verdict

    @pytest.mark.parametrize(("budget", "verdict"), [(5.0, Verdict.NOT_MEASURED), (4.9, Verdict.OVER)])
    def test_a_part_over_the_budget_is_over_and_below_it_proves_nothing(
        self, budget: float, verdict: Verdict
    ) -> None:
        part = row(WorkedOutTerm(5.0, "so"), SeriesTerm(SLOPE, 8), budget=budget)
        assert evaluate(part, catalogue_of({})).verdict is verdict

    def test_far_extrapolation_is_flagged(self) -> None:
        measured = catalogue((1, 1.0), (2, 2.0), (4, 4.0))
        assert not evaluate(row(SeriesTerm(SLOPE, 80)), measured).is_far
        assert evaluate(row(SeriesTerm(SLOPE, 81)), measured).is_far
        assert evaluate(row(SeriesTerm(SLOPE, 81, per_unit=True)), measured).is_far

    def test_two_rows_of_one_name_are_refused(self) -> None:
        with pytest.raises(ValueError, match="one name"):
            capacity_rows.evaluate_all([row(), row()], catalogue_of({}))

    @pytest.mark.parametrize("role", planned_rows.ROLES)
    @pytest.mark.parametrize("quantity", Quantity)
    def test_no_role_lacks_a_quantity(self, role: str, quantity: Quantity) -> None:
        assert any(one.role == role and one.quantity is quantity for one in planned_rows.ROWS)

    def test_every_row_has_terms_or_says_what_is_missing(self) -> None:
        assert [one.name for one in planned_rows.ROWS if not one.terms and not one.missing] == []


class TestSeries:
    """Measurements gathered by quantity."""

    @pytest.mark.parametrize("suffix", [", slope", ", predicted", ", extrapolated", ", repeat 3"])
    def test_what_is_derived_is_no_series(self, suffix: str) -> None:
        derived = replace(ONE, what=ONE.what + suffix)
        assert list(catalogue_of({"fleet.json": [ONE, derived]}).series) == [SLOPE]

    def test_a_share_of_a_core_is_nothing_to_draw_a_line_over(self) -> None:
        loads = [
            replace(one, size_unit="% of a core wanted") for one in on_line((10, 1.0), (50, 2.0), (95, 9.0))
        ]
        [series] = catalogue_of({"load.json": loads}).series.values()
        assert series.model is None and series.held_back is None
        assert series.at(60) is None
        assert series.at(50) is not None

    def test_the_largest_size_is_held_back(self) -> None:
        [series] = catalogue((4, 4.0), (1, 1.0), (2, 2.0), (3, 3.0)).series.values()
        assert series.held_back is not None
        assert series.held_back.measured.size == 4
        assert series.held_back.predicted.value == pytest.approx(4.0)


class TestNumbers:
    """Numbers as the pages write them."""

    @pytest.mark.parametrize(
        ("value", "text"),
        [
            (0.0, "0"),
            (4199.0, "4,199"),
            (1234.5, "1,230"),
            (0.012345, "0.0123"),
            (2.5, "2.5"),
            (99.96, "100"),
        ],
    )
    def test_three_digits_and_no_exponent(self, value: float, text: str) -> None:
        assert numbers_text.number(value) == text

    @pytest.mark.parametrize(
        ("value", "error", "text"),
        [
            (5.0, 0.0, "5"),
            (253.21, 2.7, "253.2 ± 2.7"),
            (12345.6, 120.0, "12,350 ± 120"),
            (0.5, 0.012, "0.500 ± 0.012"),
        ],
    )
    def test_the_error_sets_the_digits(self, value: float, error: float, text: str) -> None:
        assert numbers_text.with_error(value, error) == text

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    @pytest.mark.parametrize(
        "value", [0.0, 4.125, 4.135, 0.0625, 0.001, 0.01235, 1.0, 9.995, 1000.0, 113_413.0, 4_199.0]
    )
    def test_last_bits_do_not_change_the_text(self, value: float, change: Callable[[float], float]) -> None:
        changed = change(value)
        assert numbers_text.number(changed) == numbers_text.number(value)
        assert numbers_text.number(-changed) == numbers_text.number(-value)
        assert numbers_text.with_error(changed, 0.0) == numbers_text.number(value)
        assert numbers_text.with_error(changed, change(0.125)) == numbers_text.with_error(value, 0.125)
        assert numbers_text.with_error(12.5, changed) == numbers_text.with_error(12.5, value)

    def test_a_whole_number_of_many_digits_stays_whole(self) -> None:
        assert numbers_text.number(123_456_789_012_345.0) == "123,456,789,012,345"


class TestPrecision:
    """Rounding to reliable digits."""

    @pytest.mark.parametrize(
        ("value", "exponent"), [(1.0, 0), (0.001, -3), (999.0, 2), (1000.0, 3), (-0.25, -1), (1e-300, -300)]
    )
    def test_the_exponent_of_the_first_digit(self, value: float, exponent: int) -> None:
        assert precision.decimal_exponent(value) == exponent
        assert precision.decimal_exponent(math.nextafter(value, 0.0)) == exponent

    @pytest.mark.parametrize("value", [0.0, math.inf, math.nan])
    def test_what_has_no_first_digit_is_refused(self, value: float) -> None:
        with pytest.raises(ValueError, match="no decimal exponent"):
            precision.decimal_exponent(value)

    @pytest.mark.parametrize(
        ("value", "largest", "rounded"),
        [
            (1e-12, 8000.0, 0.0),
            (-1e-12, 8000.0, 0.0),
            (1e-8, 8000.0, 1e-8),
            (1.25, 1.0, 1.25),
            (1.25, 0.0, 1.25),
            (1.25, math.inf, 1.25),
        ],
    )
    def test_what_is_below_the_last_digit_of_the_largest_is_0(
        self, value: float, largest: float, rounded: float
    ) -> None:
        found = precision.round_reliably(value, largest)
        assert found == rounded
        assert math.copysign(1.0, found) == 1.0


class TestWorkedOut:
    """Figures without a measurement."""

    def test_holders_out_of_reach(self) -> None:
        # three or more of five, each out of reach one time in two
        assert worked_out.unreached_share(0.5) == pytest.approx(0.5)
        assert worked_out.unreached_share(1.0) == 0.0
        assert worked_out.unreached_share(1 / 3) == pytest.approx(0.79, abs=0.001)

    def test_the_limit_of_descriptors_is_the_least_that_admits_all(self) -> None:
        needed, wanted = worked_out.descriptors_needed(), PLANNED.connections_per_director
        assert descriptors.max_client_connections(needed) >= wanted
        assert descriptors.max_client_connections(needed - 1) < wanted

    def test_the_bound_on_named_peers_is_the_settings_own(self) -> None:
        most = worked_out.max_named_peers()
        peers = tuple(PeerConfig(f"d{number}", "http://10.0.0.1:1") for number in range(most + 1))
        msgspec.convert(msgspec.to_builtins(PeersConfig(peers[:most])), PeersConfig)
        with pytest.raises(msgspec.ValidationError, match="others"):
            msgspec.convert(msgspec.to_builtins(PeersConfig(peers)), PeersConfig)


class TestFindings:
    """What the page lists as wrong, held against the code."""

    @pytest.mark.parametrize("finding", findings.FINDINGS, ids=lambda one: f"{one.file} {one.where}")
    def test_what_it_names_is_there(self, finding: findings.Finding) -> None:
        source = (capacity.ROOT / finding.file).read_text(encoding="utf-8")
        for name in re.findall(r"`([^`]+)`", finding.where):
            if "/" not in name:
                assert re.search(rf"\b{name.rpartition('.')[2]}\b", source), name
        assert (finding.series is None) == bool(finding.worked_out)

    def test_each_series_of_a_scan_is_measured_by_one(self) -> None:
        measured = {SeriesName(one.what, one.role, one.size_unit, "in process") for one in scans.SCANS}
        named = {one.series for one in findings.FINDINGS if one.series is not None}
        named |= {
            term.series
            for one in planned_rows.ROWS
            for term in one.terms
            if isinstance(term, SeriesTerm) and term.series.role in planned_rows.ROLES[:1]
            if term.series.transport == "in process"
        }
        assert named <= measured

    @pytest.mark.parametrize("scan", scans.SCANS, ids=lambda one: one.what)
    def test_each_scan_runs_at_its_smallest_size(self, scan: Scan) -> None:
        sample = scan.measure(scan.sizes[0])
        assert sample.value > 0 and sample.error >= 0


@pytest.fixture(scope="module")
def pages() -> dict[Path, str]:
    """Each page's text, from the committed results."""
    return capacity.generate()


class TestPage:
    """The generated pages."""

    def test_the_committed_pages_are_what_results_and_templates_give(self) -> None:
        assert capacity.stale_pages() == []
        assert capacity.main(["--check"]) == 0

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_last_bits_of_the_measurements_do_not_change_a_page(
        self, tmp_path: Path, pages: dict[Path, str], change: Callable[[float], float]
    ) -> None:
        for name, measured in results.load_all().items():
            results.save(tmp_path / name, in_other_bits(measured, change))
        changed = results.load_all(tmp_path)
        assert changed != results.load_all()
        assert capacity.generate(tmp_path) == pages

    @pytest.mark.parametrize("seed", range(3))
    def test_the_order_of_the_measurements_does_not_change_a_page(
        self, tmp_path: Path, pages: dict[Path, str], seed: int
    ) -> None:
        for name, measured in results.load_all().items():
            ordered = shuffled(measured, seed)
            assert ordered != list(measured)
            (tmp_path / name).write_bytes(msgspec.json.encode(ordered))
        assert capacity.generate(tmp_path) == pages

    @pytest.mark.parametrize("change", CHANGES_OF_LAST_BITS)
    def test_last_bits_of_the_fits_do_not_change_a_page(
        self, monkeypatch: pytest.MonkeyPatch, pages: dict[Path, str], change: Callable[[float], float]
    ) -> None:
        """As where another mathematical library gives the logarithms, exponentials and roots."""
        for name in ("log", "exp", "sqrt"):
            exact = getattr(math, name)
            monkeypatch.setattr(math, name, lambda value, exact=exact: change(exact(value)))
        assert capacity.generate() == pages

    def test_a_changed_result_makes_them_stale(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        name, measured = next(iter(results.load_all().items()))
        for other in results.RESULTS_DIRECTORY.glob("*.json"):
            shutil.copy(other, tmp_path)
        changed = [replace(one, value=one.value * 2 + 1) for one in measured]
        results.save(tmp_path / name, changed)
        assert capacity.main(["--check", "--results", str(tmp_path)]) == capacity.STALE
        assert "docs/CAPACITY.md: stale" in capsys.readouterr().err

    def test_a_bad_result_file_is_named(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        (tmp_path / "fleet.json").write_text('[{"what": 1}]')
        assert capacity.main(["--check", "--results", str(tmp_path)]) == capacity.UNUSABLE
        error = capsys.readouterr().err
        assert "fleet.json" in error and "what" in error

    @pytest.mark.parametrize("name", ["{{row:nothing}}", "{{rows:nobody}}", "{{table:none}}", "{{word:x}}"])
    def test_a_name_that_is_not_known_is_refused(self, name: str) -> None:
        with pytest.raises(TemplateError, match="not known"):
            Page(catalogue_of({})).fill(f"so {name}")

    def test_without_results_every_measured_row_says_so(self) -> None:
        page = Page(catalogue_of({}))
        for role in planned_rows.ROLES:
            assert page.fill(f"{{{{rows:{role}}}}}").count("\n") == 1 + sum(
                one.role == role for one in planned_rows.ROWS
            )
        assert page.fill("{{row:takeover_plan}}") == "not measured"

    def test_every_series_is_on_the_slopes_page(self) -> None:
        text = capacity.generate()[capacity.ROOT / "docs" / "measured" / "scale.md"]
        for name, series in catalogue_of(results.load_all()).series.items():
            assert f"| {name.role} | {name.what} |" in text
            assert f"`{series.file}`" in text

    def test_every_file_that_a_page_names_is_there(self) -> None:
        for path, text in capacity.generate().items():
            named = re.findall(r"`((?:foxlift|bench|docs|tests)/[\w./-]+)`", text)
            assert named
            for name in named:
                assert (capacity.ROOT / name).exists(), name
            for link in re.findall(r"\]\(([^)#]+)\)", text):
                assert (path.parent / link).exists(), link
