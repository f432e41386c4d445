from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.context import ContextSigner, RequestContext

CONTEXT = RequestContext("r1", "svea", Importance.HIGH, 5e3, 0.0, 2, 1, "n1:7")


def test_token_round_trip_with_rotated_secret():
    token = ContextSigner((b"old",)).encode(CONTEXT)
    assert ContextSigner((b"new", b"old")).decode(token) == CONTEXT


def test_foreign_and_altered_tokens_are_rejected():
    signer = ContextSigner((b"ours",))
    assert signer.decode(ContextSigner((b"theirs",)).encode(CONTEXT)) is None
    token = signer.encode(CONTEXT)
    for i in range(0, len(token) - 4, 5):
        altered = "A" if token[i] != "A" else "B"
        assert signer.decode(token[:i] + altered + token[i + 1 :]) is None
    assert signer.decode("not base64 !") is None
    assert signer.decode("") is None
