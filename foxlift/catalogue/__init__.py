"""Titles: their names, the cells that store them, and their source manifests."""

from foxlift.catalogue.titles import Catalogue, Title, ladder_mismatches, load_catalogue

__all__ = ["Catalogue", "Title", "ladder_mismatches", "load_catalogue"]
