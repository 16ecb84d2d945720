"""Titles: what they are called, where they lie, and their source manifests."""

from foxlift.catalogue.titles import Catalogue, Title, ladder_mismatches, load_catalogue

__all__ = ["Catalogue", "Title", "ladder_mismatches", "load_catalogue"]
