"""The simulator's text wire: its codec and the hosting of router instances."""
