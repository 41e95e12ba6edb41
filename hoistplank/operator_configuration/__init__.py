"""The operator's file: S-expressions read into places, checked against one schema, formatted."""
