"""The laboratory: a model of caches, parents, origin and clients, two backends for it, experiments, reports.

Its figures are emulated, not measured in production. The dispatcher takes no constant from them and imports
nothing from this package.
"""
