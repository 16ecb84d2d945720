"""Samples that several tests share."""

from __future__ import annotations

HEAD = '<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" profiles="urn:mpeg:dash:profile:isoff-live:2011" '
SOURCE = (
    HEAD
    + """type="static" mediaPresentationDuration="PT40S" minBufferTime="PT4S">
 <ProgramInformation><Title>A &amp; B</Title></ProgramInformation>
 <BaseURL>vod/</BaseURL>
 <Location>http://elsewhere/</Location>
 <Period id="1">
  <AdaptationSet contentType="video" segmentAlignment="true">
   <SegmentTemplate media="$RepresentationID$/$Number$.m4s" initialization="$RepresentationID$/i.mp4"
     duration="4" startNumber="1"/>
   <Representation id="hi" bandwidth="8000000" codecs="avc1.4d401f"/>
   <Representation id="lo" bandwidth="1000000" codecs="avc1.4d401f"/>
   <Representation id="mid" bandwidth="3000000" codecs="avc1.4d401f"/>
  </AdaptationSet>
  <AdaptationSet contentType="audio"><SegmentTemplate media="a/$Number$" duration="4"/>
   <Representation id="a1" bandwidth="128000"/><Representation id="a2" bandwidth="64000"/></AdaptationSet>
  <AdaptationSet mimeType="text/vtt"><Representation id="s" bandwidth="256"><BaseURL>s.vtt</BaseURL>
   </Representation></AdaptationSet>
 </Period>
 <Period id="2">
  <AdaptationSet mimeType="video/mp4">
   <SegmentTemplate media="$RepresentationID$/$Time$" timescale="1000">
    <SegmentTimeline><S t="0" d="4000" r="4"/></SegmentTimeline></SegmentTemplate>
   <Representation id="lo" bandwidth="1000000"/><Representation id="hi" bandwidth="8000000"/>
  </AdaptationSet>
 </Period>
</MPD>"""
)
