(scene flapping
  (doc "Caches of a location come and go every 500 ms")
  (seconds 4s)
  (warm 2s)
  (at 500ms (flap z0 caches on 500ms off 500ms for 3s))
  (expect earned z1 above 0.5))
