"""Control of a whole fleet under test: hollow dispatchers, the scale run, and measured slopes."""
