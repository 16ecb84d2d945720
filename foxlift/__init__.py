"""foxlift: placement and quality decisions for a director of media sessions."""
