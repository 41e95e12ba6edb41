"""The xDS control service: cache hosts, purges and routes for proxies of other sites (docs/xds.md)."""
