"""Control of a whole fleet under test: hollow dispatchers, the scale run, and measured slopes.

Slopes: `measurements` is the record of one measured point and its file; `slopes` fits lines and says where
they do not fit; `target` holds the fleet ahead and its budgets; `requirements` multiplies slopes by sizes;
`tables` and `page` write them down. Each `role_*` module measures one role.
"""
