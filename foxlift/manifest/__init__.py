"""Manifests: parse a source once, write it for each session; which renditions fit which rate. No I/O."""

from foxlift.manifest.dash import DashSource, ManifestError, SessionView
from foxlift.manifest.renditions import Choice, Fit, Misfit, Rendition, Renditions

__all__ = [
    "Choice",
    "DashSource",
    "Fit",
    "ManifestError",
    "Misfit",
    "Rendition",
    "Renditions",
    "SessionView",
]
