"""Tokens: round trip, and which invalid tokens can never have been accepted."""

import base64

import pytest
from hypothesis import given, strategies as st

from lavendermast.codec import FrameCodec
from lavendermast.exceptions import ForgedTokenError, TokenError, UnknownTokenKeyError
from lavendermast.tokens import Token, TokenIssuer, TokenVerifier, split_key

KEY = b"0123456789abcdef"
TEXT = TokenIssuer("vm-1", 2**64 - 1, 60_000, 1, KEY).issue(1_700_000_000_000)


@given(st.text(min_size=1, max_size=40), st.integers(0, 2**64 - 1))
def test_round_trip(vm, boot_id):
    issuer = TokenIssuer(vm, boot_id, 5, 1, KEY)
    assert TokenVerifier({1: KEY}).verify(issuer.issue(10)) == Token(vm, boot_id, 15)


@given(st.integers(0, len(TEXT) - 1), st.sampled_from("Az09-_=.\n\u00e9"))
def test_changed_character_is_never_accepted(position, character):
    """Guards R4: a token that names another owner must not verify."""
    changed = TEXT[:position] + character + TEXT[position + 1 :]
    if changed != TEXT:
        with pytest.raises(TokenError):
            TokenVerifier({1: KEY}).verify(changed)


@given(st.text(max_size=60))
def test_any_text_is_refused(text):
    with pytest.raises(TokenError):
        TokenVerifier({1: KEY}).verify(text)


def test_retired_key_is_unknown_and_wrong_tag_is_forged():
    """
    Guards against a wrong ``not-run`` (R3).

    A request whose token is signed with a retired key may have run, one with a forged
    token cannot.
    """
    with pytest.raises(UnknownTokenKeyError):
        TokenVerifier({2: KEY}).verify(TEXT)
    with pytest.raises(ForgedTokenError):
        TokenVerifier({1: KEY[::-1]}).verify(TEXT)
    with pytest.raises(ForgedTokenError):
        TokenVerifier({1: KEY}).verify(TEXT[:20])


def test_peer_frame_code_does_not_verify_a_token():
    """
    Guards against a peer frame that is accepted as a token.

    Both are signed with the same fleet key, so the tags must differ.
    """
    payload = b"\x01\x01" + bytes(16) + b"vm"
    tag = FrameCodec({1: KEY}, 1)._compute_tag(1, payload)
    text = base64.urlsafe_b64encode(payload + tag).rstrip(b"=").decode()
    with pytest.raises(ForgedTokenError):
        TokenVerifier({1: KEY}).verify(text)


@pytest.mark.parametrize("key", ["", "a", "a.", ".b", "a.b\n", "a." + "b" * 500])
def test_malformed_key_is_refused(key):
    with pytest.raises(ForgedTokenError):
        split_key(key)
