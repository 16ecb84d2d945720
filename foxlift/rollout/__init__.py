"""Changes of configuration carried to every director: a replicated log, relays, stages. No I/O.

A small group of control servers agrees on one numbered log of changes (a consensus register for each
version, `foxlift.consensus`). Relays follow the log; directors watch a relay and acknowledge by version. A
change is offered to a few directors first (canaries) and to the whole fleet once they have taken it; one
that a canary refuses is reverted by a later version, so that nobody else ever has it.
"""
