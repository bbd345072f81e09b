"""Decodes the client accounts of the platform's configuration."""

from lavendermast.entrymodel import Account

#: Values beyond these bounds are mistakes of the writer.
MAX_PRIORITY = 1_000_000
MAX_RATE = 1e9
MAX_KEY_CHARACTERS = 512
MAX_NAME_CHARACTERS = 200


def decode_accounts(entries):
    """
    Return the accounts and the findings in them.

    An entry without a usable name is skipped, and so are a second one with the same
    name and keys that no header can hold. A priority or limit that is no number in
    range counts as not given.

    :param entries: list of the configuration, ``None`` if it has none. With an empty
        list requests need a key, and there is no valid one.
    :return: a tuple of :class:`~lavendermast.entrymodel.Account`, or ``None``, and a
        tuple of texts.
    :raises TypeError: when it is no list.

    >>> accounts, findings = decode_accounts([{"name": "a", "api_keys": ["k"]}, 7])
    >>> accounts[0].name, findings
    ('a', ('accounts[1]: no usable name; skipped',))
    """
    if entries is None:
        return None, ()
    if not isinstance(entries, list):
        raise TypeError("the accounts are no list")
    accounts, findings = {}, []
    for index, entry in enumerate(entries):
        place = f"accounts[{index}]"
        name = entry.get("name") if isinstance(entry, dict) else None
        if not _is_header_text(name, MAX_NAME_CHARACTERS):
            findings.append(f"{place}: no usable name; skipped")
        elif name in accounts:
            findings.append(f"{place}: its name is used before; skipped")
        else:
            accounts[name] = _decode_account(name, entry, place, findings)
    return tuple(accounts.values()), tuple(findings)


def _decode_account(name, entry, place, findings):
    return Account(
        name,
        _decode_keys(entry.get("api_keys"), place, findings),
        int(_decode_number(entry, "priority", MAX_PRIORITY, place, findings)),
        _decode_number(entry, "rate_per_s", MAX_RATE, place, findings),
        _decode_number(entry, "burst_size", MAX_RATE, place, findings),
    )


def _decode_keys(keys, place, findings):
    if not isinstance(keys, list):
        findings.append(f"{place}: no list of keys; it has none")
        return ()
    usable = [key for key in keys if _is_header_text(key, MAX_KEY_CHARACTERS)]
    if not usable:
        findings.append(f"{place}: it has no usable key")
    elif len(usable) < len(keys):
        findings.append(f"{place}: {len(keys) - len(usable)} unusable keys; skipped")
    return tuple(usable)


def _decode_number(entry, field, highest, place, findings):
    value = entry.get(field)
    if value is None:
        return 0.0
    if type(value) not in (int, float) or not 0 <= value <= highest:
        findings.append(f"{place}.{field}: no number from 0 to {highest:g}; ignored")
        return 0.0
    return float(value)


def _is_header_text(value, max_characters):
    """Return whether a value is text that a header holds unchanged."""
    if not isinstance(value, str) or not 0 < len(value) <= max_characters:
        return False
    return value.isascii() and value.isprintable() and value == value.strip()
