"""Long measurements, outside CI; tables and charts go to docs/measured/."""
