(scene clocks-off
  (doc "Clocks of two dispatchers are two seconds ahead and behind while half of all copies are purged")
  (seconds 4s)
  (warm 2s)
  (at 500ms (skew d0 2s for 3s) (skew d4 -2s for 3s))
  (at 1s (flush 0.5))
  (expect earned above 0.4))
