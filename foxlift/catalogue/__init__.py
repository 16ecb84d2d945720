"""Titles: what they are called, where they lie, and their source manifests."""

from foxlift.catalogue.titles import Catalogue, Title, load_catalogue, misfits

__all__ = ["Catalogue", "Title", "load_catalogue", "misfits"]
