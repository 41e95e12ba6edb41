(scene calm
  (doc "Nothing goes wrong: what nine dispatchers in three locations earn, and that the rig loses nothing")
  (seconds 4s)
  (warm 2s)
  (expect earned above 0.5))
