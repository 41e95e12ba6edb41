(scene one-killed
  (doc "One of three dispatchers of a location is killed, and back after a second")
  (seconds 4s)
  (warm 2s)
  (at 1s (down d0 for 1s))
  (expect earned above 0.5))
