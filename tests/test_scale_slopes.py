"""Capacity: fits and their intervals, the file of measurements, budgets, and the page against its results."""

from __future__ import annotations

import asyncio
import math
import re
from pathlib import Path

import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.cli.lab import lab
from hoistplank.cli.scale import PAGE, RESULTS
from hoistplank.distribution.messages import Acknowledgement, encode, read_request
from hoistplank.distribution.versions import NOTHING
from hoistplank.lab.scale import (
    role_change_log,
    role_control_replica,
    role_dispatcher,
    role_operator,
    tables,
)
from hoistplank.lab.scale.measurements import (
    Measurement,
    MeasurementsError,
    RunInfo,
    read,
    read_folder,
    read_info,
    write,
)
from hoistplank.lab.scale.metering import Effort, Step
from hoistplank.lab.scale.page import page
from hoistplank.lab.scale.requirement_list import REQUIREMENTS
from hoistplank.lab.scale.requirements import (
    Basis,
    Count,
    Mechanism,
    NotMeasuredError,
    Requirement,
    figure_of,
    figures,
    over_budget,
    sums,
)
from hoistplank.lab.scale.roles import ROLES
from hoistplank.lab.scale.sizes import PERCENT
from hoistplank.lab.scale.slopes import Form, TooFewSizesError, fit, judge, t_quantile
from hoistplank.lab.scale.target import TARGET, Budget

SIZES = (100, 200, 400, 800, 1_600)
INFO = RunInfo("slopes 2026-01-01T00:00Z", "abc1234", "a machine", "quick")
SMALL = Effort(repeats=1, slow_repeats=1, events=2, divisor=5)


def noisy(form: Form, slope: float, repeats: int, noise: float, seed: int) -> tuple[list[float], list[float]]:
    """Points of a form with normal noise, relative to the largest value."""
    chance = np.random.default_rng(seed)
    sizes = np.repeat(np.asarray(SIZES, dtype=np.float64), repeats)
    values = 10 + slope * form.of(sizes)
    values += chance.normal(0, noise * float(values.max()), len(values))
    return sizes.tolist(), values.tolist()


# Fits.


def test_an_exact_line_is_found_and_fits() -> None:
    found = judge(SIZES, [3 + 2 * size for size in SIZES])
    assert found.line_fits and found.chosen() is found.line
    assert found.line.slope == pytest.approx(2) and found.line.intercept == pytest.approx(3)
    assert found.line.residual == pytest.approx(0, abs=1e-9)


@pytest.mark.parametrize("form", [Form.N_LOG_N, Form.N_SQUARED])
@pytest.mark.parametrize("seed", range(5))
def test_a_curve_is_no_line_and_its_form_is_named(form: Form, seed: int) -> None:
    noise = 0.001 if form is Form.N_LOG_N else 0.01
    found = judge(*noisy(form, 1.0, 5, noise, seed))
    assert not found.line_fits, f"seed {seed}"
    assert found.best.form is form and found.chosen().form is form


def test_a_noisy_line_is_seldom_called_a_curve() -> None:
    wrong = [seed for seed in range(200) if not judge(*noisy(Form.LINE, 1.0, 3, 0.03, seed)).line_fits]
    assert len(wrong) <= 4, f"seeds {wrong}"


def test_the_interval_covers_the_slope_as_often_as_it_says() -> None:
    covered = 0
    for seed in range(400):
        line = fit(*noisy(Form.LINE, 1.0, 2, 0.05, seed))
        covered += line.slope_low <= 1.0 <= line.slope_high
    assert 0.92 <= covered / 400 <= 0.98  # 95 %, four standard errors of 400 draws on either side


def test_more_points_give_a_narrower_interval() -> None:
    few = fit(*noisy(Form.LINE, 1.0, 2, 0.05, 1))
    many = fit(*noisy(Form.LINE, 1.0, 50, 0.05, 1))
    assert many.slope_high - many.slope_low < few.slope_high - few.slope_low


@settings(max_examples=100)
@given(
    st.lists(st.integers(1, 100_000), min_size=4, max_size=12, unique=True),
    st.floats(0.001, 1_000),
    st.floats(0, 1_000),
)
def test_a_fit_of_exact_points_grows_with_the_size(sizes: list[int], slope: float, start: float) -> None:
    line = fit(sizes, [start + slope * size for size in sizes])
    values = [line.at(size).value for size in sorted(sizes)]
    assert values == sorted(values)
    assert line.slope == pytest.approx(slope, rel=1e-6)


@settings(max_examples=100)
@given(
    st.lists(st.floats(0.5, 1_000), min_size=4, max_size=10, unique_by=lambda size: round(size, 1)),
    st.integers(0, 1_000),
    st.floats(0.1, 100),
)
def test_a_scaled_measurement_scales_its_slope(sizes: list[float], seed: int, scale: float) -> None:
    chance = np.random.default_rng(seed)
    values = [size + float(chance.normal(0, 1)) for size in sizes]
    one = fit(sizes, values)
    other = fit(sizes, [scale * value for value in values])
    assert other.slope == pytest.approx(scale * one.slope, rel=1e-6, abs=1e-9)
    reach, scaled = one.slope_high - one.slope, other.slope_high - other.slope
    assert scaled == pytest.approx(scale * reach, rel=1e-6, abs=1e-9)


@settings(max_examples=50)
@given(st.integers(0, 10_000), st.floats(1, 10))
def test_an_estimate_is_the_less_sure_the_further_it_lies(seed: int, times: float) -> None:
    line = fit(*noisy(Form.LINE, 1.0, 2, 0.05, seed))
    near, far = line.at(SIZES[-1]), line.at(SIZES[-1] * times * 1.1)
    assert far.high - far.low > near.high - near.low
    assert far.extrapolated and not near.extrapolated


@pytest.mark.parametrize("sizes", [(), (1,), (1, 2, 3), (1, 2, 3, 3, 3, 3)])
def test_fewer_than_four_sizes_are_refused(sizes: tuple[int, ...]) -> None:
    with pytest.raises(TooFewSizesError, match=f"there are {len(set(sizes))}"):
        judge(sizes, [1.0] * len(sizes))
    with pytest.raises(TooFewSizesError):
        fit(sizes, [1.0] * len(sizes))


def test_points_that_do_not_pair_up_or_are_no_numbers_are_refused() -> None:
    with pytest.raises(ValueError, match="can't be paired"):
        fit(SIZES, [1.0])
    with pytest.raises(ValueError, match="no finite number"):
        fit(SIZES, [1.0, 2.0, math.nan, 4.0, 5.0])


def test_quantiles_fall_towards_the_normal_one() -> None:
    values = [t_quantile(degrees) for degrees in range(1, 40)]
    assert values == sorted(values, reverse=True) and values[-1] == 1.96
    assert t_quantile(0) == math.inf


# The file.


def some(count: int = 3) -> list[Measurement]:
    return [
        Measurement("dispatcher", "memory", "B", "hosts", size, 2.5 * size, INFO.run, "a note")
        for size in range(count)
    ]


def test_measurements_come_back_as_they_were_written(tmp_path: Path) -> None:
    path = tmp_path / "folder" / "slopes.parquet"
    write(path, some(), INFO)
    assert read(path) == some() and read_info(path) == INFO
    assert [file.name for file in path.parent.iterdir()] == [path.name]
    delay = Measurement(
        "fleet", "delay of a purge to the last dispatcher, p99", "ms", "", 0, 812.5, "scale run"
    )
    write(path.with_name("scale-run.parquet"), [delay], INFO)
    assert read_folder(path.parent) == [delay, *some()]


@settings(max_examples=30, deadline=None)
@given(
    st.lists(
        st.builds(
            Measurement,
            st.text(max_size=8),
            st.text(max_size=8),
            st.text(max_size=3),
            st.text(max_size=8),
            st.floats(allow_nan=False),
            st.floats(allow_nan=False),
            st.text(max_size=8),
            st.text(max_size=8),
        ),
        max_size=5,
    )
)
def test_any_measurement_survives_the_file(
    tmp_path_factory: pytest.TempPathFactory, rows: list[Measurement]
) -> None:
    path = tmp_path_factory.mktemp("file") / "any.parquet"
    write(path, rows, INFO)
    assert read(path) == rows


def test_files_that_cannot_be_used_are_named(tmp_path: Path) -> None:
    path = tmp_path / "slopes.parquet"
    with pytest.raises(MeasurementsError, match="slopes.parquet can't be read"):
        read(path)
    path.write_bytes(b"PAR1 no such thing")
    with pytest.raises(MeasurementsError, match="slopes.parquet can't be read"):
        read(path)
    pq.write_table(pa.table({"role": ["dispatcher"]}), path)
    with pytest.raises(MeasurementsError, match="layout none, expected 1"):
        read(path)
    metadata = {b"hoistplank.scale.layout": b"1"}
    pq.write_table(pa.table({"role": ["dispatcher"]}).replace_schema_metadata(metadata), path)
    with pytest.raises(MeasurementsError, match="lacks the column 'quantity'"):
        read(path)
    write(path, some(), INFO)
    whole = pq.read_table(path)
    wrong = whole.set_column(whole.schema.get_field_index("value"), "value", pa.array(["1", "2", "3"]))
    pq.write_table(wrong, path)
    with pytest.raises(MeasurementsError, match="the column 'value' is no double"):
        read(path)


# Requirements and budgets.


def rows_of(slope: float, quantity: str = "cost") -> list[Measurement]:
    return [Measurement("role", quantity, "us", "things", size, slope * size, "run") for size in SIZES]


def asked(size: float, basis: Basis, times: float = 1.0, quantity: str = "cost") -> Requirement:
    return Requirement(
        role="role",
        title="a cost",
        quantity=quantity,
        size=Count(size, "things"),
        unit=PERCENT,
        mechanism=Mechanism("none", "none"),
        times=Count(times, ""),
        basis=basis,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    )


def test_a_figure_is_slope_times_size_in_the_unit_of_its_budget() -> None:
    # 50 us a thing, 100 things a second: 5 ms in a second are 0.5 % of a core.
    figure = figure_of(asked(100, Basis.PER_EVENT), rows_of(50))
    assert figure.value == pytest.approx(0.5) and figure.left == pytest.approx(1.1)
    assert figure.budget_share == pytest.approx(0.5 / 1.6) and not figure.extrapolated
    # At 1,000 things one event costs 50 ms; two in a second are 10 % of a core.
    figure = figure_of(asked(1_000, Basis.AT_SIZE, times=2), rows_of(50))
    assert figure.value == pytest.approx(10) and figure.budget_share == pytest.approx(10 / 1.6)
    assert figure_of(asked(2_000, Basis.AT_SIZE), rows_of(50)).extrapolated


def test_sums_count_each_budget_and_what_is_over_comes_furthest_first() -> None:
    rows = [*rows_of(50), *rows_of(1, "small")]
    wanted = (
        asked(100, Basis.PER_EVENT),
        asked(100, Basis.PER_EVENT, quantity="small"),
        asked(1_000, Basis.AT_SIZE),
        asked(1_000, Basis.AT_SIZE, times=3),
    )
    worked_out = figures(wanted, rows)
    [found] = sums(worked_out[:2])
    assert found.budget is Budget.DISPATCHER_CPU and found.parts == 2
    assert found.value == pytest.approx(0.51) and found.left == pytest.approx(1.09)
    assert [round(row.value, 6) for row in over_budget(worked_out)] == [15, 5]


def test_what_was_not_measured_is_left_out_and_named() -> None:
    wanted = asked(1, Basis.AT_SIZE, quantity="other")
    assert figures((wanted,), rows_of(1)) == []
    with pytest.raises(NotMeasuredError, match="'other' of the role"):
        figure_of(wanted, rows_of(1))


def test_the_target_is_what_a_dispatcher_gets_of_it() -> None:
    assert TARGET.requests_per_dispatcher == pytest.approx(573.5, abs=0.1)
    assert TARGET.bytes_per_dispatcher * 8 == pytest.approx(2.794e9, rel=1e-3)
    assert TARGET.answer_bytes == pytest.approx(608_974, rel=1e-4)
    assert TARGET.purges_per_hour == pytest.approx(14_040)
    assert TARGET.dispatchers_per_site == pytest.approx(21.9, abs=0.1)


# What measures.


@pytest.mark.parametrize(
    "step",
    [
        *role_dispatcher.STEPS[1:3],
        role_operator.STEPS[1],
        role_change_log.STEPS[2],
        *role_control_replica.STEPS,
    ],
    ids=lambda step: f"{step.role}: {step.title}",
)
def test_a_step_measures_what_slopes_can_be_drawn_from(step: Step) -> None:
    found = step.measure(SMALL)
    for quantity in {row.quantity for row in found}:
        rows = [row for row in found if row.quantity == quantity]
        line = judge([row.size for row in rows], [row.value for row in rows]).line
        assert line.slope > 0, quantity


def test_a_follower_knows_the_last_event_it_has() -> None:
    follower = role_change_log._Follower()
    assert follower.last_seq() == 0
    lines = role_dispatcher.purge_lines(3, first=5)
    for data in (lines[0][:10], lines[0][10:], lines[1] + lines[2][:-1]):
        follower.data_received(data)
    assert follower.last_seq() == 6
    follower.data_received(b'\n{"seq":7}\n')
    assert follower.last_seq() == 7


class Sent(asyncio.WriteTransport):
    """Keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, data: object) -> None:
        assert isinstance(data, bytes)
        self.lines.append(data)


def test_a_follower_of_a_replica_acknowledges_a_catch_up_at_its_end_alone() -> None:
    sent, follower = Sent(), role_control_replica.AcknowledgingFollower("d1")
    follower.connection_made(sent)
    state = role_control_replica.state_with(purges=2, hosts=3)
    *parts, end = state.lines_since(NOTHING)
    follower.data_received(b"".join(parts))
    assert follower.held == 0 and len(sent.lines) == 1
    follower.data_received(end[:-1])
    follower.data_received(end[-1:] + encode(state.heartbeat()))
    assert follower.held == 3 and len(sent.lines) == 2
    acknowledged = read_request(sent.lines[-1])
    assert isinstance(acknowledged, Acknowledgement) and acknowledged.version.to_version() == state.version


# The page.


def test_every_requirement_is_measured_and_every_role_has_its_table() -> None:
    measured = {(row.role, row.quantity) for row in read_folder(RESULTS)}
    assert [row.title for row in REQUIREMENTS if row.source not in measured] == []
    places = re.findall(r"<!-- table: (.+?) -->", PAGE.read_text())
    assert set(ROLES) <= set(places) and len(places) == len(set(places))


def test_the_page_holds_what_its_results_say() -> None:
    text = PAGE.read_text()
    assert tables.rewritten(text, read_folder(RESULTS)) == text, "run 'hoistplank lab scale table'"


def test_a_changed_figure_of_the_page_is_found(tmp_path: Path) -> None:
    changed = tmp_path / "CAPACITY.md"
    place = tables.PLACE.search(PAGE.read_text())
    assert place is not None
    digit = re.search(r"\d", place.group(2))
    assert digit is not None
    at = place.start(2) + digit.start()
    text = PAGE.read_text()
    other = str((int(text[at]) + 1) % 10)
    changed.write_text(text[:at] + other + text[at + 1 :])
    command = ["scale", "table", "--check", "--page", str(changed)]
    found = CliRunner().invoke(lab, command)
    assert found.exit_code == 1 and "differs from its results" in found.output
    changed.write_text(text)
    assert CliRunner().invoke(lab, command).exit_code == 0


@pytest.mark.parametrize(
    "text, wrong",
    [
        ("no place", "there is no place"),
        ("<!-- table: runs -->\n", "does not end with"),
        ("<!-- table: no such -->\n<!-- end of table -->", "no table is called 'no such'"),
    ],
)
def test_a_page_whose_places_cannot_be_filled_is_refused(tmp_path: Path, text: str, wrong: str) -> None:
    file = tmp_path / "page.md"
    file.write_text(text)
    found = CliRunner().invoke(lab, ["scale", "table", "--page", str(file)])
    assert found.exit_code == 2 and wrong in found.output and file.read_text() == text


def test_results_that_cannot_be_read_are_told(tmp_path: Path) -> None:
    command = ["scale", "table", "--results", str(tmp_path)]
    found = CliRunner().invoke(lab, command)
    assert found.exit_code == 2 and "no results" in found.output
    (tmp_path / "slopes.parquet").write_bytes(b"torn")
    found = CliRunner().invoke(lab, command)
    assert found.exit_code == 2 and "slopes.parquet can't be read" in found.output


def test_the_report_has_a_plot_of_each_slope() -> None:
    rows = read_folder(RESULTS)
    made = page(rows)
    assert made.count("<svg") == len({(row.role, row.quantity) for row in rows if row.per})
    assert not re.search(r'<script|<link|src=|href="http', made.replace('xlink:href="#', ""))


@pytest.mark.parametrize(
    "value, text",
    [
        (0, "0"),
        (1_234.5, "1,230"),
        (0.00012345, "0.000123"),
        (12.0, "12"),
        (-3.14159, "-3.14"),
        (999.6, "1,000"),
    ],
)
def test_numbers_have_three_digits_and_no_exponent(value: float, text: str) -> None:
    assert tables.number(value) == text
