(scene link-lost
  (doc "The link of a location to the hub is cut for two seconds")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 link for 2s noticed 1s))
  (expect earned z1 above 0.5))
