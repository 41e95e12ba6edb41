(scene starved
  (doc "Two dispatchers lose half of their core")
  (seconds 4s)
  (warm 2s)
  (at 500ms (starve d0 0.5 for 3s) (starve d4 0.5 for 3s))
  (expect earned above 0.4))
