"""DASH manifests: what a session is shown, what is left alone, what is refused."""

from __future__ import annotations

from dataclasses import replace
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
    "http://127.0.0.1:9/s/1.x/t/",
    "http://f/dash/t/back/a.b.c/",
    "http://f/dash/t/manifest.mpd?token=a&b",
    4.0,
    floor_kb=0.0,
    rate_kb=500.0,
    top_kb=500.0,
)
NS = {"d": "urn:mpeg:dash:schema:mpd:2011"}
LIVE = SOURCE.replace(
    'type="static"',
    'type="dynamic" availabilityStartTime="2020-01-01T00:00:00Z" minimumUpdatePeriod="PT2S"',
)


def view(floor_kb: float, rate_kb: float, top_kb: float) -> SessionView:
    return replace(VIEW, floor_kb=floor_kb, rate_kb=rate_kb, top_kb=top_kb)


def shown(source: DashSource, wanted: SessionView) -> etree._Element:
    return etree.fromstring(source.write(wanted))


def ids(root: etree._Element, path: str) -> list[str]:
    return [str(value) for value in root.xpath(path, namespaces=NS)]


def test_a_static_title_lists_all_that_the_session_may_ever_see_in_every_period() -> None:
    source = DashSource(SOURCE.encode(), "t")
    for floor, top, first, second in (
        (0, 500, ["lo", "mid"], ["lo"]),
        (0, 150, ["lo"], ["lo"]),
        (500, 500, ["mid"], ["lo"]),
        (0, 2000, ["hi", "lo", "mid"], ["lo", "hi"]),
        (1200, 150, ["hi"], ["hi"]),
        (0, 1, ["lo"], ["lo"]),
    ):
        root = shown(source, view(floor, 1.0, top))
        sets = root.findall(".//d:AdaptationSet", NS)
        assert [r.get("id") for r in sets[0].findall("d:Representation", NS)] == first
        assert [r.get("id") for r in sets[3].findall("d:Representation", NS)] == second
        assert "a2" in ids(root, "//d:AdaptationSet[@contentType='audio']/d:Representation/@id")
        assert ids(root, "//d:AdaptationSet[@mimeType='text/vtt']/d:Representation/@id") == ["s"]


def test_a_static_title_stays_static_and_is_not_loaded_again() -> None:
    root = shown(DashSource(SOURCE.encode(), "t"), VIEW)
    assert [etree.QName(child).localname for child in root][:4] == [
        "ProgramInformation",
        "BaseURL",
        "BaseURL",
        "Period",
    ]
    assert [base.text for base in root.findall("d:BaseURL", NS)] == [
        VIEW.base_url + "vod/",
        VIEW.back_url + "vod/",
    ]
    assert root.get("type") == "static"
    for name in ("minimumUpdatePeriod", "availabilityStartTime", "publishTime"):
        assert root.get(name) is None
    assert root.find("d:Location", NS) is None
    assert root.get("mediaPresentationDuration") == "PT40S"
    alone = shown(DashSource(SOURCE.encode(), "t"), replace(VIEW, back_url=""))
    assert len(alone.findall("d:BaseURL", NS)) == 1


def test_a_live_source_keeps_its_own_timeline_and_is_shown_to_the_rung_in_force() -> None:
    source = DashSource(LIVE.encode(), "t")
    root = shown(source, view(0.0, 150.0, 2000.0))
    assert root.get("availabilityStartTime") == "2020-01-01T00:00:00Z"
    assert root.get("minimumUpdatePeriod") == "PT2S"  # never longer than the source's own
    assert root.findtext("d:Location", namespaces=NS) == VIEW.location
    assert ids(root, "//d:Period[1]/d:AdaptationSet[1]/d:Representation/@id") == ["lo"]
    slower = DashSource(LIVE.replace('"PT2S"', '"PT1H"').encode(), "t")
    assert shown(slower, VIEW).get("minimumUpdatePeriod") == "PT4S"


def test_an_independent_parser_reads_what_is_shown() -> None:
    mpd = mpegdash.parser.MPEGDASHParser.parse(DashSource(SOURCE.encode(), "t").write(VIEW).decode())
    assert [len(period.adaptation_sets) for period in mpd.periods] == [3, 1]
    assert [base.base_url_value for base in mpd.base_urls] == [
        VIEW.base_url + "vod/",
        VIEW.back_url + "vod/",
    ]


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
    with pytest.raises(ManifestError, match="neither video nor audio"):
        DashSource(SOURCE.replace("video", "application").replace("audio", "application").encode(), "t")


@given(st.text(max_size=40), st.text(max_size=40), st.sampled_from([0.0, 200.0, 900.0]))
def test_whatever_is_put_in_comes_out_as_text(base: str, location: str, rate: float) -> None:
    """No character of a URL can change the document: what XML cannot hold never reaches here."""
    clean = ["".join(c for c in text if c.isprintable()) for text in (base, location)]
    wanted = replace(view(0.0, rate, rate), base_url=clean[0], location=clean[1])
    root = shown(DashSource(LIVE.encode(), "t"), wanted)
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
    assert catalogue.titles["t1"].source.renditions.kinds == {"video", "audio", "text"}
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
