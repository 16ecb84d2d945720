"""Source manifests and what each session is shown of them."""

from foxlift.manifest.dash import DashSource, ManifestError, SessionView

__all__ = ["DashSource", "ManifestError", "SessionView"]
