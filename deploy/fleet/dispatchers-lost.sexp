(scene dispatchers-lost
  (doc "Dispatchers of a location are killed, its caches are well; its clients come to another one")
  (seconds 4s)
  (warm 2s)
  (at 1s (gone z0 dispatchers for 1500ms noticed 1s)
      (move z0 z1 1 after 200ms spread 400ms for 2s))
  (expect displaced above 0.2))
