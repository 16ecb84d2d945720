"""DASH manifests: what a session is shown, what is left alone, what is refused."""

from __future__ import annotations

from pathlib import Path

import mpegdash.parser
import pytest
from hypothesis import given
from hypothesis import strategies as st
from lxml import etree
from samples import HEAD, SOURCE

from foxlift.catalogue import load_catalogue
from foxlift.config import ConfigError
from foxlift.manifest import DashSource, ManifestError, SessionView

VIEW = SessionView(
    "http://127.0.0.1:9/s/1.x/t/", "http://f/dash/t/manifest.mpd?token=a&b", "2026-01-01T00:00:00Z", 4.0, 1
)
NS = {"d": "urn:mpeg:dash:schema:mpd:2011"}


def shown(source: DashSource, view: SessionView) -> etree._Element:
    return etree.fromstring(source.write(view))


def ids(root: etree._Element, path: str) -> list[str]:
    return [str(value) for value in root.xpath(path, namespaces=NS)]


def test_only_rungs_from_floor_to_rung_are_left_in_every_period() -> None:
    source = DashSource(SOURCE.encode(), "t")
    assert source.rungs == 3
    for floor, rung, first, second in (
        (0, 1, ["lo", "mid"], ["lo", "hi"]),
        (0, 0, ["lo"], ["lo"]),
        (1, 1, ["mid"], ["hi"]),
        (0, 9, ["hi", "lo", "mid"], ["lo", "hi"]),
        (5, 0, ["hi"], ["hi"]),
    ):
        root = shown(source, SessionView("b", "l", "s", 1, rung, floor))
        sets = root.findall(".//d:AdaptationSet", NS)
        assert [r.get("id") for r in sets[0].findall("d:Representation", NS)] == first
        assert [r.get("id") for r in sets[3].findall("d:Representation", NS)] == second
        assert ids(root, "//d:AdaptationSet[@contentType='audio']/d:Representation/@id") == ["a1", "a2"]
        assert ids(root, "//d:AdaptationSet[@mimeType='text/vtt']/d:Representation/@id") == ["s"]


def test_a_sessions_own_parts_are_in_their_places() -> None:
    root = shown(DashSource(SOURCE.encode(), "t"), VIEW)
    assert [etree.QName(child).localname for child in root][:4] == [
        "ProgramInformation",
        "BaseURL",
        "Location",
        "Period",
    ]
    assert root.findtext("d:BaseURL", namespaces=NS) == VIEW.base_url + "vod/"
    assert root.findtext("d:Location", namespaces=NS) == VIEW.location
    assert root.get("minimumUpdatePeriod") == "PT4S"
    assert (root.get("type"), root.get("availabilityStartTime")) == ("dynamic", VIEW.start)
    assert root.find("d:BaseURL", NS).get("availabilityTimeOffset") == "INF"  # type: ignore[union-attr]
    assert root.get("mediaPresentationDuration") == "PT40S"


def test_a_live_source_keeps_its_own_times() -> None:
    live = SOURCE.replace('type="static"', 'type="dynamic" availabilityStartTime="2020-01-01T00:00:00Z"')
    root = shown(DashSource(live.encode(), "t"), VIEW)
    assert root.get("availabilityStartTime") == "2020-01-01T00:00:00Z"
    assert root.find("d:BaseURL", NS).get("availabilityTimeOffset") is None  # type: ignore[union-attr]


def test_an_independent_parser_reads_what_is_shown() -> None:
    mpd = mpegdash.parser.MPEGDASHParser.parse(DashSource(SOURCE.encode(), "t").write(VIEW).decode())
    assert [len(period.adaptation_sets) for period in mpd.periods] == [3, 1]
    assert mpd.base_urls[0].base_url_value == VIEW.base_url + "vod/"


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("<MPD ", '<!DOCTYPE MPD [<!ENTITY a "aa">]><MPD ', "document type"),
        ("A &amp; B", "A & B", "not XML"),
        ("urn:mpeg:dash:schema:mpd:2011", "urn:other", "root is"),
        ("<BaseURL>s.vtt", "<BaseURL>http://elsewhere/s.vtt", "BaseURL: a URL here must be relative"),
        ('media="a/$Number$"', 'media="../a/$Number$"', "SegmentTemplate: a URL here"),
        ('media="a/$Number$"', 'media="//host/a"', "SegmentTemplate: a URL here"),
        ('bandwidth="8000000"', 'bandwidth="much"', "Representation: @bandwidth"),
        ('<Period id="2">', '<Period xmlns:x="http://www.w3.org/1999/xlink" x:href="u">', "xlink"),
        ("</MPD>", "", "not XML"),
    ],
)
def test_what_cannot_be_used_is_refused_with_file_and_line(old: str, new: str, words: str) -> None:
    assert old in SOURCE
    with pytest.raises(ManifestError) as caught:
        DashSource(SOURCE.replace(old, new, 1).encode(), "title.mpd")
    assert str(caught.value).startswith("title.mpd:")
    assert words in str(caught.value)


def test_entity_expansion_and_oversize_are_refused() -> None:
    bomb = "".join(f'<!ENTITY a{k} "{f"&a{k - 1};" * 10}">' for k in range(1, 9))
    text = f'<?xml version="1.0"?><!DOCTYPE MPD [<!ENTITY a0 "x">{bomb}]>{HEAD}><Period>&a8;</Period></MPD>'
    with pytest.raises(ManifestError):
        DashSource(text.encode(), "t")
    with pytest.raises(ManifestError, match="larger than"):
        DashSource(b" " * (5 << 20), "t")
    with pytest.raises(ManifestError, match="no video AdaptationSet"):
        DashSource(SOURCE.replace("video", "audio").encode(), "t")


@given(st.text(max_size=40), st.text(max_size=40), st.integers(0, 4), st.integers(0, 4))
def test_whatever_is_put_in_comes_out_as_text(base: str, location: str, floor: int, rung: int) -> None:
    """No character of a URL can change the document: what XML cannot hold never reaches here."""
    clean = ["".join(c for c in text if c.isprintable()) for text in (base, location)]
    view = SessionView(clean[0], clean[1], "2026-01-01T00:00:00Z", 4, rung, floor)
    root = shown(DashSource(SOURCE.encode(), "t"), view)
    assert root.findtext("d:BaseURL", namespaces=NS) == clean[0] + "vod/"
    assert (root.findtext("d:Location", namespaces=NS) or "") == clean[1]


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    with pytest.raises(ManifestError):
        DashSource(data, "t")


def test_a_catalogue_is_read_whole_or_refused(tmp_path: Path) -> None:
    title = '(title (name "t1") (first-cell 2) (holders 3) (manifest "a.mpd"))'
    (tmp_path / "a.mpd").write_text(SOURCE)
    path = tmp_path / "catalogue.sexp"
    path.write_text(f"(catalogue (version 3) (titles {title}))")
    catalogue = load_catalogue(tmp_path, cells=6)
    assert catalogue.titles["t1"].source.rungs == 3
    for text, words in (
        (f"(catalogue (version 3) (titles {title} {title}))", "stated twice"),
        (
            f"(catalogue (version 3) (titles {title.replace('(first-cell 2)', '(first-cell 9)')}))",
            "does not fit",
        ),
        (f"(catalogue (version 3) (titles {title.replace('a.mpd', 'b.mpd')}))", r"b\.mpd"),
        (f"(catalogue (version 3) (titles {title.replace('a.mpd', '../a.mpd')}))", "manifest"),
        (f"(catalogue (version 3) (titles {title})", "not closed"),
    ):
        path.write_text(text)
        with pytest.raises(ConfigError, match=words):
            load_catalogue(tmp_path, cells=6)
