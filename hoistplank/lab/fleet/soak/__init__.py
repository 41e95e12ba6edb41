"""A soak: real dispatcher processes under seeded mixes of faults, judged by the truth of what was sent."""
