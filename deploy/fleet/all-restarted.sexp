(scene all-restarted
  (doc "All nine dispatchers are restarted within two seconds")
  (seconds 4s)
  (warm 2s)
  (at 1s (restart dispatchers within 2s down 300ms))
  (expect earned above 0.4))
