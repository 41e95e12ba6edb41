(scene paths-broken
  (doc "Connections between a dispatcher and its caches are reset and refused, others go dead without a word")
  (seconds 4s)
  (warm 2s)
  (at 1s (break d0 z0 for 1s) (halfway d3 z0))
  (expect earned z1 above 0.5))
