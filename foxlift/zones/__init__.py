"""Zones and regions fail over by one decision in common: evidence, plan, agreement on it. No I/O, no clock.

`evidence` judges each zone by what directors in several places report of it. `plan` turns judgements into the
next plan: how much of each zone's own demand goes elsewhere, and where to. `common` has a stated group of
makers agree on one plan a number, and each director follow the highest that it heard. Not wired yet.
"""
