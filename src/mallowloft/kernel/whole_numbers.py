"""Whole numbers in the headers of other programs."""


def parse(value: bytes, maximum: int) -> int | None:
    """Returns a whole number in decimal digits.

    Args:
        value: Text of the header.
        maximum: Greatest valid number.

    Returns:
        The number; None if the text is no number from 0 to the maximum. Its
        length is checked first, because Python limits the conversion of texts
        to integers by their length.
    """
    digits = value.lstrip(b"0")
    if not value.isdigit() or len(digits) > len(str(maximum)):
        return None
    number = int(digits or b"0")
    return number if number <= maximum else None
