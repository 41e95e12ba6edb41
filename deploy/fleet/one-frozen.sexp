(scene one-frozen
  (doc "One of three dispatchers stands still for two seconds, and goes on as if nothing were")
  (seconds 4s)
  (warm 2s)
  (at 1s (freeze d0 for 2s))
  (expect earned above 0.4))
