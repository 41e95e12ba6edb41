(scene place-lost
  (doc "Caches and dispatchers of a location are gone; its clients come to the two others")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 all for 2s noticed 600ms)
      (move z0 z1 0.5 after 200ms spread 400ms for 2s)
      (move z0 z2 0.5 after 200ms spread 400ms for 2s))
  (expect displaced above 0.2))
