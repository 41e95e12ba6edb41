(scene slow-paths
  (doc "Far paths to the hub get slow, thin and uneven")
  (seconds 4s)
  (warm 2s)
  (at 500ms (delay dispatchers hub 30ms spread 60ms for 3s) (pace hub dispatchers 400 for 3s))
  (expect earned above 0.4))
