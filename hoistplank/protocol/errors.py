"""The one error of all parsers."""


class BadBytes(Exception):
    """Bytes that can't be read; its text names what is wrong with them."""
