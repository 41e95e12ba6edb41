(scene hub-lost
  (doc "Half of the parents are gone at once; the log tells it after a second")
  (seconds 4s)
  (warm 2s)
  (at 1s (hub h0 for 2s noticed 1s))
  (expect earned above 0.3))
