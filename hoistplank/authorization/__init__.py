"""Authentication and authorization of callers: tokens, certificates, tenants with their rights and limits,
and keys that change in service.

Decision logic, without I/O or clock: `jws`, `key_sets`, `token_cache`, `key_lifecycle`, `permissions`,
`operation_keys`, `object_groups`, `token_bucket`, `signature_budget`, `fair_share`, `revocations`,
`authenticator`, `authorizer`. Around it: files (`credential_files`, `key_set_files`, `key_ring`,
`revocation_files`, `certificates`), what follows them (`credential_sources`, `credential_loader`), listeners
(`tls_listener`, `admin_server`) and `service`, which the program runs.
"""
