; Nothing goes wrong: what the fleet earns, and that the rig itself loses nothing.
(scene calm
  (doc "Nine dispatchers in three locations, nothing goes wrong")
  (seconds 6s)
  (expect earned above 0.6)
  (expect fair above 0.95))
