"""Capacity: what each role costs as slopes, and what that makes of the fleet ahead.

`measurements` is the record of one measured point and its file; `slopes` fits lines and says where they do
not fit; `target` holds the fleet ahead and its budgets; `requirements` multiplies slopes by sizes; `tables`
and `page` write them down. Each `role_*` module measures one role.
"""
