"""The operator file: a parser of S-expressions with source locations, schemas, and a formatter."""
