"""The rules: each a function that gives the breaches it finds in a day's traffic."""
