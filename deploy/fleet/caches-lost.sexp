(scene caches-lost
  (doc "All caches of a location are silent for three seconds; the log tells it after 600 ms")
  (seconds 6s)
  (at 1s (gone z0 caches for 3s noticed 600ms))
  (expect earned z1 above 0.5 from 1s to 4s))
