"""Distributes configuration changes to every director: a replicated log, relays, staged release. No I/O.

A small group of control servers agrees on one numbered log of changes (one register per version,
`foxlift.consensus`). Relays replicate the log; each director polls a relay and confirms by version number.
A change goes to a few directors first (canaries) and to the whole fleet once they have applied it. One that
a canary refuses is reverted by a later version, so that no other director ever applies it.
"""
