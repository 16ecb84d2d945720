"""Failover of zones and regions by a common plan: evidence, planning, agreement. No I/O, no clock.

`evidence` assesses each zone from the reports of directors in several places. `plan` makes the next plan from
the assessments: how much of each zone's own demand goes elsewhere, and where to. In `agreement` a group of
planners agrees on one plan a number, and each director follows the highest that it received. The wiring is
`foxlift.director.cluster.zone_planning`.
"""
