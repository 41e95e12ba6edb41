(scene log-one-way
  (doc "The change log can't be heard by some, while a third of the caches is drained")
  (seconds 4s)
  (warm 2s)
  (at 500ms (hush log dz0 for 3s))
  (at 1s (drain caches:0.34 for 1500ms))
  (expect earned above 0.4))
