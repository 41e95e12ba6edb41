; Three defences of the module switched off one at a time, at three sizes.
(experiment defences
  (days calm stall crash herd)
  (sizes 12 100 1000)
  (seeds 1 2 3)
  (policies module without-silence without-cooldown without-room)
  (seconds 12)
  (rate-per-host 1.2)
  (location 20))
