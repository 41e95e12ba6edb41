(scene one-way
  (doc "A dispatcher is heard by a location's caches, and hears nothing back")
  (seconds 4s)
  (warm 2s)
  (at 1s (hush z0 d0 for 1500ms))
  (expect earned z1 above 0.5))
