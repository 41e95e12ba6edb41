(scene caches-lost-silently
  (doc "All caches of a location fall silent, and the log does not notice")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 caches for 2s noticed 10s))
  (expect earned z1 above 0.5))
