"""Authentication and authorization of callers: tokens, certificates, tenants with their rights and limits,
and keys that change in service.

Decision logic, without I/O or clock: `jws`, `ring`, `rights`, `limits`, `revoked`, `proofs`, `gate`.
Carrying out: `keyfiles`, `certificates`, `service`, `control`. The rest of the program sees `Gate` and,
where the operator's file asks for it, `CallersService`.
"""
