"""The operator's file: S-expressions with source locations, schemas that check them, and the formatter."""
