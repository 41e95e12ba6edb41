(scene caches-lost
  (doc "All caches of a location fall silent; the log tells it after 600 ms")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 caches for 2s noticed 600ms))
  (expect wrong below 2)
  (expect earned z1 above 0.5))
