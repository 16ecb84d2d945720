"""Settings files: what is read, and that every error names its place."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxlift import interface as fl
from foxlift.config import ConfigError, DirectorConfig, bind, load_director, module_settings, read_forms

GOOD = """
; a director of three
(director (name "d0") (number 0) (directors 3) (zone west) (state "state")
  (fleet (ladder-kb 200 500 1500) (ladder-worth 0.25 0.6 1.0)
    (classes
      (class (name "graded") (repeat once) (wanted-ms 1500) (deadline-ms 3000) (worth 3) (top 2))
      (class (name "briefing") (repeat free) (wanted-ms 1000) (deadline-ms 5000) (worth 1) (top 2) (floor 1)))
    (cells 12) (racks 2) (zones east west) (kinds std) (kind-slots 30) (link-kb-per-weight 7000))
  (front (port 0)) (tokens (keys "keys.json") (issuer "i") (audience "a")) (catalogue (folder "c"))
  (box-list (url "http://127.0.0.1:1/")))
"""


def test_a_good_file_becomes_the_modules_settings(tmp_path: Path) -> None:
    path = tmp_path / "director.sexp"
    path.write_text(GOOD)
    config = load_director(path)
    assert config.state == str(tmp_path / "state")
    settings = module_settings(config)
    assert settings.zone == 1
    assert settings.classes[0].repeat is fl.Repeat.ONCE
    assert settings.classes[1].floor == 1
    assert settings.ladder_kb == (200.0, 500.0, 1500.0)


@pytest.mark.parametrize(
    ("old", "new", "line", "words"),
    [
        ("(number 0)", "(number x)", 3, "director.number: Expected int"),
        ("(number 0)", "(number 7)", 3, "number 7 is not below directors 3"),
        ("(zone west)", "(zone north)", 3, "zone north is not one of"),
        ("(racks 2)", "(racks 2) (racks 3)", 8, "director.fleet.racks: stated twice"),
        ("(racks 2)", "", 4, "director.fleet.racks: missing"),
        ("(racks 2)", "(rack 2)", 8, "unknown key"),
        ("(repeat once)", "(repeat twice)", 6, "director.fleet.classes.class.repeat"),
        ("(floor 1)", "(floor 3)", 4, "class briefing: floor and top"),
        ("(ladder-kb 200 500 1500)", "(ladder-kb 200 100 1500)", 4, "does not rise"),
        ("(port 0)", "(port (0))", 9, "found a list"),
        ('(name "d0")', '(name "d 0")', 3, "director.name"),
    ],
)
def test_an_error_names_line_and_key(old: str, new: str, line: int, words: str) -> None:
    assert old in GOOD
    with pytest.raises(ConfigError) as caught:
        bind(read_forms(GOOD.replace(old, new, 1), "d.sexp"), DirectorConfig, "director")
    assert caught.value.position.line == line
    assert words in str(caught.value)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("(director", "1:1: this list is not closed"),
        ("(director))", "1:11: ')' closes no list"),
        ('(director "x', "1:11: this quoted text is not closed"),
        ("[director]", "'['"),
        ("(" * 50, "nested deeper"),
        ("", "expected one form"),
        ("a" * (1 << 21), "2097152 characters; 1048576 are allowed"),
        ("(a \0)", "zero byte"),
        ("(director 'x)", "quoting"),
    ],
)
def test_what_is_no_settings_file_is_refused_with_its_place(text: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        bind(read_forms(text, "d.sexp"), DirectorConfig, "director")
    assert words in str(caught.value)


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"none\.sexp:1:1: cannot be read"):
        load_director(tmp_path / "none.sexp")


@given(st.text(alphabet=st.sampled_from("()\"\\; abc\n10.t'[]{}x-"), max_size=60))
def test_any_text_is_read_or_refused_with_a_place(text: str) -> None:
    try:
        bind(read_forms(text, "f"), DirectorConfig, "director")
    except ConfigError as error:
        assert str(error).startswith("f:")
    else:
        raise AssertionError("no such text is a whole director file")


@given(st.data())
def test_a_cut_file_is_never_taken_for_a_whole_one(data: st.DataObject) -> None:
    end = len(GOOD.rstrip())
    cut = data.draw(st.integers(0, end - 1))
    with pytest.raises(ConfigError):
        bind(read_forms(GOOD[:cut], "f"), DirectorConfig, "director")
