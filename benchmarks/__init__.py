"""Measurements of the claims, one a subsystem; each ends by itself and prints one JSON object last."""
