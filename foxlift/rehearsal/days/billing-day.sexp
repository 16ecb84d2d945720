; Thousands of short sessions through four directors that are killed again and again: what is billed is what was played.
(scenario (name "billing-day") (seconds 60) (viewers 2400) (exports true)
  (directors 4) (boxes 12) (racks 2) (zones east west) (titles 12) (holders 4)
  (classes
    (class (terms (name "graded-lesson") (repeat once) (wanted-ms 1500) (deadline-ms 3000) (worth 3) (top 3))
           (part 0.4) (length-s 1 3))
    (class (terms (name "briefing-replay") (repeat free) (wanted-ms 1000) (deadline-ms 5000) (worth 1) (top 3)
                  (rate-scale 0.7))
           (part 0.6) (length-s 1 4)))
  (tenants (tenant (name "north") (part 0.67)) (tenant (name "south") (part 0.33)))
  (ladder-kb 100 250 600 1200) (ladder-worth 0.22 0.5 0.76 1)
  (link-kb 12000) (uplink-kb 56000) (places 60) (warm-up-ms 3000) (segment-s 0.5) (set-up-ms 40)
  (steps
    (step (at-s 3) (do kill-random) (value 14) (for-s 50))
    (step (at-s 8) (do lose-answers) (on "boxes") (value 0.1) (for-s 10))
    (step (at-s 20) (do die) (on "b3"))
    (step (at-s 24) (do return) (on "b3"))
    (step (at-s 30) (do hang) (on "b6") (for-s 4))
    (step (at-s 36) (do weaken-rack) (on "r0") (value 0.3) (for-s 6))))
