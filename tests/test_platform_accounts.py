"""Client accounts as the platform's configuration holds them."""

import json
import math

import pytest

from lavendermast.exceptions import DocumentError
from lavendermast.platform.accounts import decode_accounts
from lavendermast.platform.documents import CONFIG_KEY, decode_document
from standins.entryworld import READ_RULE, make_config

GOOD = {"name": "good", "api_keys": ["k1", "k2"], "rate_per_s": 5, "burst_size": 2}
BAD_ENTRIES = {
    "no entry": 7,
    "no name": {"api_keys": ["k"]},
    "name with a line end": {"name": "a\r\nb", "api_keys": ["k"]},
    "same name": {"name": "good", "api_keys": ["k"]},
}
BAD_LIMITS = [-1, math.nan, math.inf, 10**400, "5", True, []]


def decode_config(accounts):
    value = {**make_config(3, READ_RULE), "tenants": accounts}
    return decode_document(CONFIG_KEY, json.dumps(value).encode(), {}).config


@pytest.mark.parametrize("kind", BAD_ENTRIES)
def test_bad_entry_does_not_take_the_good_ones_with_it(kind):
    """Guards against a configuration that one entry keeps from taking effect."""
    config = decode_config([GOOD, BAD_ENTRIES[kind]])
    assert [account.name for account in config.accounts] == ["good"]
    assert config.accounts[0].keys == ("k1", "k2")
    assert len(config.account_findings) == 1
    assert config.account_findings[0].startswith("accounts[1]: ")


@pytest.mark.parametrize("field", ["rate_per_s", "burst_size", "priority"])
@pytest.mark.parametrize("value", BAD_LIMITS)
def test_bad_number_counts_as_not_given(field, value):
    """Guards against a limit or rank that no code expects, and a wrong rejection."""
    accounts, findings = decode_accounts([{**GOOD, field: value}])
    account = accounts[0]
    numbers = {"rate_per_s": account.rate_limit, "burst_size": account.burst}
    assert numbers.get(field, account.priority) == 0
    assert findings == (findings[0],) and findings[0].startswith(f"accounts[0].{field}")


@pytest.mark.parametrize("key", ["x" * 1_000_000, "", " k", "a\nb", "ü", 7, None])
def test_key_that_no_header_holds_is_skipped_and_not_told(key):
    """Guards against a huge key that is kept, and a key in the log."""
    accounts, findings = decode_accounts([{**GOOD, "api_keys": ["k1", key]}])
    assert accounts[0].keys == ("k1",)
    assert findings == ("accounts[0]: 1 unusable keys; skipped",)
    assert "k1" not in repr(accounts)


def test_configuration_without_accounts_differs_from_one_that_has_none_left():
    """Guards against open doors once the last account is gone."""
    assert decode_config(None).accounts is None
    assert decode_config([]).accounts == ()
    with pytest.raises(DocumentError):
        decode_config({"name": "a"})
