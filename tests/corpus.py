"""Source manifests in the layouts of common packagers, written here from their documented forms."""

from __future__ import annotations

HEAD = '<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" xmlns:cenc="urn:mpeg:cenc:2013" '
ON_DEMAND = 'profiles="urn:mpeg:dash:profile:isoff-on-demand:2011" '
LIVE_PROFILE = 'profiles="urn:mpeg:dash:profile:isoff-live:2011" '
TIMELINE = """<SegmentTemplate timescale="1000" initialization="init-$RepresentationID$.m4s"
 media="chunk-$RepresentationID$-$Number%05d$.m4s" startNumber="1"><SegmentTimeline><S t="0" d="2000" r="58"/>
 </SegmentTimeline></SegmentTemplate>"""


def _ffmpeg() -> str:
    """One AdaptationSet for each stream, each with one Representation and its own timeline."""
    rates = (1200, 500, 4500, 2500)
    sets = "".join(
        f'<AdaptationSet id="{k}" contentType="video" startWithSAP="1" segmentAlignment="true" frameRate="25/1"'
        f' lang="und"><Representation id="{k}" mimeType="video/mp4" codecs="avc1.64001f" bandwidth="{kbps * 1000}"'
        f' width="640" height="360">{TIMELINE}</Representation></AdaptationSet>'
        for k, kbps in enumerate(rates)
    )
    return (
        HEAD
        + LIVE_PROFILE
        + 'type="static" mediaPresentationDuration="PT2M0.0S" maxSegmentDuration="PT2.0S" minBufferTime="PT4.0S">'
        + '<ProgramInformation></ProgramInformation><ServiceDescription id="0"></ServiceDescription>'
        + f'<Period id="0" start="PT0.0S">{sets}'
        + '<AdaptationSet id="4" contentType="audio" startWithSAP="1" segmentAlignment="true" lang="und">'
        + '<Representation id="4" mimeType="audio/mp4" codecs="mp4a.40.2" bandwidth="96000"'
        + f' audioSamplingRate="48000">{TIMELINE}</Representation></AdaptationSet></Period></MPD>'
    )


def _shaka() -> str:
    """On demand: one file a Representation, indexed; DRM descriptors on the set."""
    video = "".join(
        f'<Representation id="v{k}" bandwidth="{kbps * 1000}" codecs="avc1.4d401f" mimeType="video/mp4"'
        f' sar="1:1" width="{w}" height="{w * 9 // 16}"><BaseURL>v{k}.mp4</BaseURL>'
        '<SegmentBase indexRange="823-1190" timescale="12800"><Initialization range="0-822"/></SegmentBase>'
        "</Representation>"
        for k, (kbps, w) in enumerate([(500, 480), (1400, 960), (2800, 1280)])
    )
    audio = "".join(
        f'<AdaptationSet id="{k}" contentType="audio" lang="{lang}" subsegmentAlignment="true">'
        f'<Role schemeIdUri="urn:mpeg:dash:role:2011" value="{role}"/>'
        f'<Representation id="a{k}" bandwidth="128000" codecs="mp4a.40.2" mimeType="audio/mp4"'
        f' audioSamplingRate="48000"><BaseURL>a{k}.mp4</BaseURL><SegmentBase indexRange="700-900"/>'
        "</Representation></AdaptationSet>"
        for k, (lang, role) in enumerate([("fi", "main"), ("sv", "dub"), ("en", "commentary")], 1)
    )
    protection = (
        '<ContentProtection value="cenc" schemeIdUri="urn:mpeg:dash:mp4protection:2011"'
        ' cenc:default_KID="10000000-1000-1000-1000-100000000001"/>'
        '<ContentProtection schemeIdUri="urn:uuid:edef8ba9-79d6-4ace-a3c8-27dcd51d21ed"><cenc:pssh>AAAANHBzc2g='
        "</cenc:pssh></ContentProtection>"
    )
    return (
        HEAD
        + ON_DEMAND
        + 'type="static" mediaPresentationDuration="PT120S" minBufferTime="PT2S">\n<Period id="0">\n'
        + '<AdaptationSet id="0" contentType="video" width="1280" height="720" subsegmentAlignment="true">\n'
        + protection
        + video
        + "</AdaptationSet>"
        + audio
        + '<AdaptationSet id="9" contentType="text" lang="fi"><Representation id="s" bandwidth="256"'
        + ' mimeType="text/vtt"><BaseURL>s.vtt</BaseURL></Representation></AdaptationSet></Period></MPD>'
    )


def _gpac() -> str:
    """Two codec families in one Period, templates on the set, several languages."""
    video = "".join(
        f'<AdaptationSet segmentAlignment="true" maxWidth="1920" maxHeight="1080" mimeType="video/mp4"'
        f' startWithSAP="1"><SegmentTemplate media="{family}_$RepresentationID$_$Number$.m4s"'
        f' initialization="{family}_$RepresentationID$_i.mp4" timescale="25000" startNumber="1"'
        f' duration="100000"/>{rows}</AdaptationSet>'
        for family, rows in (
            (
                "avc",
                "".join(
                    f'<Representation id="a{r}" bandwidth="{r}000" codecs="avc1.64001E"/>'
                    for r in (700, 1500, 3000)
                ),
            ),
            (
                "hevc",
                "".join(
                    f'<Representation id="h{r}" bandwidth="{r}000" codecs="hvc1.1.6.L93"/>'
                    for r in (400, 900, 2000)
                ),
            ),
        )
    )
    audio = "".join(
        f'<AdaptationSet segmentAlignment="true" lang="{lang}" mimeType="audio/mp4"><SegmentTemplate'
        f' media="{lang}_$Number$.m4s" timescale="48000" duration="192000"/><Representation id="{lang}"'
        ' bandwidth="64000" codecs="mp4a.40.2"/></AdaptationSet>'
        for lang in ("en", "fi")
    )
    return (
        HEAD
        + LIVE_PROFILE
        + 'type="static" mediaPresentationDuration="PT0H2M0.000S" minBufferTime="PT1.500S">'
        + '<ProgramInformation moreInformationURL="http://example.org"><Title>t</Title></ProgramInformation>'
        + f'<Period duration="PT0H2M0.000S">{video}{audio}</Period></MPD>'
    )


def _switching() -> str:
    """Sets joined by the switching property, a set for fast play, subsets."""
    rates = ((1, (300, 500)), (2, (1200,)), (3, (2500, 4000)))
    sets = "".join(
        f'<AdaptationSet id="{k}" contentType="video" mimeType="video/mp4">'
        '<SupplementalProperty schemeIdUri="urn:mpeg:dash:adaptation-set-switching:2016"'
        f' value="{",".join(str(other) for other, _ in rates if other != k)}"/>'
        '<SegmentTemplate media="$RepresentationID$/$Number$" duration="4"/>'
        + "".join(
            f'<Representation id="v{kbps}" bandwidth="{kbps}000" codecs="avc1.4d401f"/>' for kbps in found
        )
        + "</AdaptationSet>"
        for k, found in rates
    )
    return (
        HEAD
        + LIVE_PROFILE
        + 'type="static" mediaPresentationDuration="PT60S" minBufferTime="PT4S"><BaseURL>x/</BaseURL>'
        + f'<BaseURL>y/</BaseURL><Period id="p">{sets}<AdaptationSet id="4" contentType="audio"'
        + ' mimeType="audio/mp4"><SegmentTemplate media="a/$Number$" duration="4"/>'
        + '<Representation id="a" bandwidth="64000" codecs="mp4a.40.2"/></AdaptationSet>'
        + '<AdaptationSet id="5" contentType="video" mimeType="video/mp4"><EssentialProperty'
        + ' schemeIdUri="http://dashif.org/guidelines/trickmode" value="3"/><SegmentTemplate media="t/$Number$"'
        + ' duration="4"/><Representation id="trick" bandwidth="50000" codecs="avc1.4d401f" maxPlayoutRate="8"/>'
        + '</AdaptationSet><Subset contains="1 2 3 4"/></Period></MPD>'
    )


def _live() -> str:
    """Dynamic, several Periods, low latency descriptors, patch and steering of its own."""
    period = (
        '<AdaptationSet id="0" contentType="video" mimeType="video/mp4"><Resync dT="500000" type="0"/>'
        '<SegmentTemplate timescale="1000" media="{0}/$RepresentationID$/$Time$.m4s" initialization="{0}/i.mp4">'
        '<SegmentTimeline><S t="{1}" d="2000" r="9"/></SegmentTimeline></SegmentTemplate>'
        '<Representation id="{0}-lo" bandwidth="500000" codecs="avc1.4d401f"/>'
        '<Representation id="{0}-hi" bandwidth="3000000" codecs="avc1.4d401f"/></AdaptationSet>'
        '<AdaptationSet id="1" contentType="audio" mimeType="audio/mp4"><SegmentTemplate media="{0}/a/$Time$"'
        ' timescale="1000"><SegmentTimeline><S t="{1}" d="2000" r="9"/></SegmentTimeline></SegmentTemplate>'
        '<Representation id="{0}-a" bandwidth="64000" codecs="mp4a.40.2"/></AdaptationSet>'
    )
    return (
        HEAD
        + LIVE_PROFILE
        + 'type="dynamic" availabilityStartTime="2026-01-01T00:00:00Z" publishTime="2026-11-30T08:00:00Z"'
        + ' minimumUpdatePeriod="PT2S" timeShiftBufferDepth="PT40S" suggestedPresentationDelay="PT6S"'
        + ' minBufferTime="PT2S">'
        + '<BaseURL availabilityTimeOffset="1.5" availabilityTimeComplete="false">cdn/</BaseURL>'
        + "<Location>http://origin.example/live.mpd</Location>"
        + '<PatchLocation ttl="60">patch.mpp</PatchLocation>'
        + '<ServiceDescription id="0"><Latency target="3500" min="2000" max="6000"/></ServiceDescription>'
        + f'<Period id="p1" start="PT0S">{period.format("p1", 0)}</Period>'
        + f'<Period id="p2" start="PT20S">{period.format("p2", 20000)}'
        + '<EventStream schemeIdUri="urn:scte:scte35:2013:xml" timescale="1"/></Period>'
        + '<UTCTiming schemeIdUri="urn:mpeg:dash:utc:http-iso:2014" value="https://time.example/"/></MPD>'
    ).replace('<EventStream schemeIdUri="urn:scte:scte35:2013:xml" timescale="1"/>', "")


def _periods() -> str:
    """A static title with an insert between two parts, whose renditions differ."""
    one = (
        '<AdaptationSet mimeType="video/mp4"><SegmentTemplate media="{0}/$RepresentationID$/$Number$"'
        ' duration="4"/>{1}</AdaptationSet><AdaptationSet mimeType="audio/mp4" lang="en"><SegmentTemplate'
        ' media="{0}/a/$Number$" duration="4"/><Representation id="{0}a" bandwidth="64000"/></AdaptationSet>'
    )
    rows = {
        "main": (500, 1500, 3000),
        "insert": (800, 2200),
    }

    def part(name: str) -> str:
        found = "".join(
            f'<Representation id="{name}{kbps}" bandwidth="{kbps}000" codecs="avc1.4d401f"/>'
            for kbps in rows[name]
        )
        return one.format(name, found)

    return (
        HEAD
        + LIVE_PROFILE
        + 'type="static" minBufferTime="PT4S" mediaPresentationDuration="PT60S">'
        + f'<Period id="1" duration="PT20S">{part("main")}</Period>'
        + f'<Period id="2" duration="PT20S">{part("insert")}</Period></MPD>'
    )


CORPUS = {
    "ffmpeg": _ffmpeg(),
    "shaka-packager": _shaka(),
    "gpac": _gpac(),
    "switching": _switching(),
    "live": _live(),
    "periods": _periods(),
}


def many(sets: int, each: int) -> str:
    """As many renditions as are taken, over many sets."""
    rows = "".join(
        f'<AdaptationSet id="{k}" mimeType="video/mp4" lang="l{k}"><SegmentTemplate media="$RepresentationID$/$Number$"'
        ' duration="4"/>'
        + "".join(
            f'<Representation id="r{k}-{n}" bandwidth="{(n + 1) * 100_000 + k}" codecs="avc1.4d401f"/>'
            for n in range(each)
        )
        + "</AdaptationSet>"
        for k in range(sets)
    )
    return (
        HEAD
        + LIVE_PROFILE
        + f'type="static" minBufferTime="PT4S" mediaPresentationDuration="PT60S"><Period id="p">{rows}</Period></MPD>'
    )
