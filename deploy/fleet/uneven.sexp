(scene uneven
  (doc "One of three dispatchers of each location gets six times the load of the others")
  (seconds 4s)
  (warm 2s)
  (at 500ms (uneven z0 6x for 4s) (uneven z1 6x for 4s) (uneven z2 6x for 4s))
  (expect earned above 0.4))
