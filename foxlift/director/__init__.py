"""The running director: protocol events in, the module's actions out."""

from foxlift.director.core import Core
from foxlift.director.daemon import Daemon

__all__ = ["Core", "Daemon"]
