; A first experiment: who loses least when cache hosts stall, crash or slow down? About half a minute on 8 cores.
(experiment first
  (days calm stall crash origin-slow)
  (script half-slow
    (at 4s (slow caches:0.5 4x for 6s))
    (at 6s (herd page 0.3 objects 2 for 5s)))
  (sizes 12)
  (seeds 1 2 3)
  (policies module hash random seer)
  (seconds 12))
