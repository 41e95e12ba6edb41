"""The simulator's text protocol: its codec, and the hosting of router instances."""
