; The operator's file, an example to start from: `hoistplank check deploy/operator.sexp`.
; docs/configuration.md lists every form. The files that it names stand beside it.
(log (format lines))

(callers
  (strangers refuse)  ; callers that show nothing
  (tokens
    (issuer "https://id.example" (keys "ring/ring.json") (audience "hoistplank"))
    (skew 30s)
    (checks 600/s)
    (checks-each 60/s))
  (tls
    (listen 127.0.0.1:7443)
    (certificate "server.pem")
    (key "server.key")
    (client-ca "clients.pem")
    (crl "clients.crl"))
  (control (listen 127.0.0.1:7444))
  (revoked "revoked.jsonl")
  (tenant coast
    (subjects "https://id.example" (names coast-*))
    (names uri:hoistplank:coast)
    (groups 0-31)
    (rights read book purge)
    (rate 400/s)
    (open-visits 400)
    (operation-keys c0))
  (tenant inland
    (subjects "https://id.example" (names inland-*))
    (names uri:hoistplank:inland)
    (groups 32-63)
    (rights read book purge)
    (operation-keys 1a))
  (tenant operations (names uri:hoistplank:operations) (rights operate)))
