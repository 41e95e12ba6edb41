; The five policies that the bench has played by name, on the lab's days of the same kinds (docs/lab.md). Seeds 1 and 2 were
; used while the shape of the world was settled, so they are left out.
(experiment ranking
  (days vanish slow stall pauses herd origin-slow scan flush)
  (sizes 12)
  (seeds 3 4 5 6 7 8)
  (policies module without-herds hash two random)
  (load 1.0))
