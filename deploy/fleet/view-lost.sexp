(scene view-lost
  (doc "The log shows all caches of a location as gone that are well")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 view for 2s noticed 1s))
  (expect earned z1 above 0.5))
