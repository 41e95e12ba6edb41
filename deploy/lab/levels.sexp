; Levels of reduced service as the laboratory's dispatchers run them in `make bench-levels` (docs/levels.md).
; Turning videos back, or halving the fills, lost up to 0.13 of utility on the laboratory's slow-archive
; days; taking old copies first lost nothing. So the slow archive gets old copies, and only a full core
; turns the cheapest track back.
(levels
  (retries 1)
  (level archive-slow
    (enter archive above 1.8 for 1s)
    (enter goal:booking below 0.995 for 500ms)
    (leave archive below 1.3 for 5s)
    (dwell 20s)
    (old-first page tile video))
  (level core-full
    (enter lag above 80 for 500ms)
    (leave lag below 20 for 5s)
    (dwell 20s)
    (turn-back tile)
    (shots 2)))
