"""Stand-ins for the outside: media boxes, the box list service, players, taps and the checker."""
