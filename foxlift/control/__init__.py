"""The control server process: sockets, timers and disk around the core `foxlift.rollout.server`."""
