"""Bounds on texts that callers choose and that are stored for long."""

import xxhash


def shorten(text: str, max_bytes: int) -> str:
    """Returns a text of at most ``max_bytes`` bytes in UTF-8.

    A longer text is replaced by its beginning and a digest of the whole, so
    that different texts stay different.  A short text is returned unchanged.

    Example::

        assert shorten("/orders", 40) == "/orders"
        assert len(shorten("/" + "a" * 15_000, 40)) == 40
    """
    if len(text) * 4 <= max_bytes:
        return text
    data = text.encode("utf-8", "surrogatepass")
    if len(data) <= max_bytes:
        return text
    suffix = f"~{xxhash.xxh3_64_hexdigest(data)}"
    kept = data[: max_bytes - len(suffix)].decode("utf-8", "ignore")
    return kept + suffix
