"""Reads S-expression files into typed, validated structures; each error names file, line, column and key."""

from foxlift.config.forms import ConfigError, SourcePosition, bind, read_forms
from foxlift.config.settings import (
    BoxLinkConfig,
    CatalogueConfig,
    DirectorConfig,
    FleetConfig,
    FrontConfig,
    TokenConfig,
    load_director,
    module_settings,
)

__all__ = [
    "BoxLinkConfig",
    "CatalogueConfig",
    "ConfigError",
    "DirectorConfig",
    "FleetConfig",
    "FrontConfig",
    "SourcePosition",
    "TokenConfig",
    "bind",
    "load_director",
    "module_settings",
    "read_forms",
]
