"""The process: its configuration, its log and its phases."""
