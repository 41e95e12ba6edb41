"""Decision logic of callers: tokens, rings, rights, limits, revocation. No sockets, files or clock."""

from __future__ import annotations

import json
import string
import time
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.authorization.authorizer import Authorizer, ClassRules
from hoistplank.authorization.fair_share import Demand, TenantLimiter, TenantQuota, open_limit, water_level
from hoistplank.authorization.identity import Caller, CertificateIdentity, Credentials
from hoistplank.authorization.jws import InvalidTokenError, parse_token
from hoistplank.authorization.key_lifecycle import (
    KeyEntry,
    KeyEvent,
    KeyTransitionError,
    add_key,
    transition,
)
from hoistplank.authorization.key_set_files import eddsa_verifier, es256_verifier
from hoistplank.authorization.key_sets import Issuer, KeySet, VerificationKey
from hoistplank.authorization.permissions import (
    BOOK,
    READ,
    RIGHT_BITS,
    NameBinding,
    NameIndex,
    Tenant,
    TenantDirectory,
)
from hoistplank.authorization.policy import AuthenticationPolicy
from hoistplank.authorization.rejection import Rejection
from hoistplank.authorization.revocations import InvalidRevocationError, Revocation, RevocationSet
from hoistplank.authorization.signature_budget import SignatureBudget
from hoistplank.authorization.token_bucket import TokenBucket
from hoistplank.fakes.certificate_authority import TokenSigner, base64url

ISS, S = "https://id.example", 1_000_000
OLD, NEW, ES = TokenSigner("k1"), TokenSigner("k2"), TokenSigner("k3", "ES256")


def key(signer: TokenSigner, name: str = "") -> VerificationKey:
    public: Any = signer.key.public_key()
    verify = eddsa_verifier(public) if signer.algorithm == "EdDSA" else es256_verifier(public)
    return VerificationKey(name or signer.kid, signer.algorithm, signer.jwk()["x"], verify)


def now_us() -> int:
    return int(time.time() * S)


class Scene:
    """An authorizer with three tenants; `ask` is one request."""

    def __init__(self, *signers: TokenSigner, **policy: Any) -> None:
        rights = RIGHT_BITS["read"] | RIGHT_BITS["book"] | RIGHT_BITS["purge"]
        self.tenants = [
            Tenant("coast", rights, groups=0xFF, key_prefixes=("c0",)),
            Tenant("inland", rights, groups=0xFF00),
            Tenant("looks", RIGHT_BITS["read"], frozenset({"page"})),
        ]
        self.bindings = [
            NameBinding(ISS, "coast-*", "coast"),
            NameBinding(ISS, "inland-*", "inland"),
            NameBinding(ISS, "looks", "looks"),
            NameBinding("", "uri:coast", "coast"),
            NameBinding("", "uri:inland", "inland"),
        ]
        self.now = now_us()
        keys = {signer.kid: key(signer) for signer in signers or (OLD, NEW, ES)}
        self.authorizer = Authorizer(
            TenantDirectory(self.tenants, self.bindings),
            {ISS: Issuer(ISS, "hoistplank", KeySet(keys), 1, 0)},
            AuthenticationPolicy(**policy),
            self.now,
        )
        self.authenticator = self.authorizer.authenticator

    def ask(
        self,
        token: str = "",
        identity: CertificateIdentity | None = None,
        group: int = 1,
        op: str = "",
        class_name: str = "page",
        room: int = 0,
        source: str = "s",
    ) -> Caller | Rejection:
        held = f"Bearer {token}" if token else ""
        request = SimpleNamespace(
            class_name=class_name, object_key="aa" * 8, purge_group=group, idempotency_key=op
        )
        credentials, rules = Credentials(identity, held, source), ClassRules(BOOK if op else READ, 6 * S)
        return self.authorizer.admit(self.now, credentials, request, rules, room)

    def keys(self, *signers: TokenSigner) -> None:
        held = self.authenticator.issuers[ISS]
        self.authenticator.replace_issuers(
            {ISS: held.with_key_set(KeySet({one.kid: key(one) for one in signers}), self.now)}
        )


def cause(found: Caller | Rejection) -> tuple[int, str]:
    assert isinstance(found, Rejection), found
    return found.status, found.reason


def numbered() -> Callable[[str], str]:
    """Names of cases by their place, with why they are refused."""
    places = count()
    return lambda value: value if str(value).startswith("token ") else f"{next(places)}"


@pytest.mark.parametrize("signer", [OLD, ES], ids=["EdDSA", "ES256"])
def test_a_good_token_is_let_in_and_checked_once(signer: TokenSigner) -> None:
    scene, checks = Scene(), list[bytes]()
    held = scene.authenticator.issuers[ISS].keys[signer.kid]

    def spied(signed: bytes, signature: bytes) -> bool:
        checks.append(signature)
        return held.verify(signed, signature)

    keys = {signer.kid: replace(held, verify=spied)}
    scene.authenticator.replace_issuers({ISS: Issuer(ISS, "hoistplank", KeySet(keys), 1, 0)})
    token = signer.token("coast-7")
    for _ in range(3):
        found = scene.ask(token)
        assert isinstance(found, Caller) and (found.tenant.name, found.name) == ("coast", "coast-7")
    assert len(checks) == 1


HEAD = {"alg": "EdDSA", "kid": "k1"}
SAID = {"iss": ISS, "aud": "hoistplank", "sub": "coast-1", "exp": int(time.time()) + 3_600}
EXP = str(SAID["exp"])


def made(header: str = json.dumps(HEAD), claims: str = json.dumps(SAID)) -> str:
    return OLD.raw(header, claims)


@pytest.mark.parametrize(
    "token, told",
    [
        (
            ".".join(base64url(json.dumps(part).encode()) for part in ({"alg": "none", "kid": "k1"}, SAID))
            + ".",
            "token alg",
        ),
        (made(json.dumps({"alg": "HS256", "kid": "k1"})), "token alg"),
        (made(json.dumps({"alg": "ES256", "kid": "k1"})), "token alg"),
        (made(json.dumps(HEAD | {"kid": "../k1"})), "token kid"),
        (made(json.dumps(HEAD | {"kid": 1})), "token kid"),
        (made(json.dumps(HEAD | {"crit": ["b64"], "b64": False})), "token crit"),
        (made('{"alg":"EdDSA","kid":"k1","kid":"k2"}'), "token duplicate"),
        (made(claims=json.dumps(SAID)[:-1] + ',"sub":"inland-1"}'), "token duplicate"),
        (made(claims=json.dumps(SAID | {"exp": EXP})), "token exp"),
        (made(claims=json.dumps(SAID).replace(EXP, "1e400")), "token exp"),
        (made(claims=json.dumps(SAID).replace(EXP, "NaN")), "token form"),
        (made(claims=json.dumps(SAID).replace(EXP, "9" * 5_000)), "token size"),
        (made(claims=json.dumps(SAID).replace(EXP, "9" * 400)), "token exp"),
        (made(claims=json.dumps(SAID | {"exp": True})), "token exp"),
        (made(claims=json.dumps(SAID | {"nbf": -1})), "token nbf"),
        (made(claims=json.dumps(SAID | {"aud": []})), "token aud"),
        (made(claims=json.dumps(SAID | {"sub": ""})), "token sub"),
        (made(claims="[" * 2_000), "token form"),
        (made(claims='"text"'), "token form"),
        ("x" * 1_000_000, "token size"),
        ("a.b", "token form"),
        (OLD.token("coast-1", issuer="https://other"), "token iss"),
        (OLD.token("coast-1", audience="else"), "token aud"),
        (OLD.token("coast-1", lasts_s=-31), "token expired"),
        (OLD.token("coast-1", nbf=int(time.time() + 3_600)), "token early"),
        (OLD.token("coast-1", lasts_s=90_000_000), "token exp"),
        (OLD.token("coast-1", header={"kid": "k2"}), "token signature"),
        (OLD.token("coast-1")[:-6] + "AAAAAA", "token signature"),
        (OLD.token("coast-1")[:-1] + "é", "token form"),
    ],
    ids=numbered(),  # the tokens hold the time: as names they would differ from run to run
)
def test_a_token_that_does_not_stand_is_refused_by_name(token: str, told: str) -> None:
    scene = Scene()
    assert cause(scene.ask(token)) == (401, told)
    assert not scene.authorizer.limiter.total_open and not scene.authenticator.unknown_keys


def test_one_token_has_one_spelling() -> None:
    token = OLD.token("coast-1")
    # The last of 86 characters holds four bits that a lax reader throws away.
    last = string.ascii_uppercase + string.ascii_lowercase + string.digits + "-_"
    other = token[:-1] + last[last.index(token[-1]) ^ 1]
    scene = Scene()
    assert isinstance(scene.ask(token), Caller)
    assert cause(scene.ask(other)) == (401, "token form")


@given(
    st.one_of(
        st.text(max_size=300),
        st.lists(st.binary(max_size=80), min_size=3, max_size=3).map(
            lambda parts: ".".join(base64url(part) for part in parts)
        ),
        st.tuples(
            st.recursive(
                st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=9)),
                lambda inner: st.one_of(
                    st.lists(inner, max_size=3),
                    st.dictionaries(st.sampled_from([*SAID, "nbf", "jti", "alg"]), inner, max_size=5),
                ),
                max_leaves=12,
            ),
        ).map(lambda row: OLD.raw(json.dumps(HEAD), json.dumps(row[0]))),
    )
)
def test_any_text_is_a_token_or_named(text: str) -> None:
    try:
        parse_token(text, 4_096)
    except InvalidTokenError as wrong:
        assert wrong.reason


def test_a_token_dies_with_its_expiry_its_key_and_its_revocation() -> None:
    scene = Scene()
    short, tokens = OLD.token("coast-1", lasts_s=60), [OLD.token("coast-1", jti=f"j{n}") for n in range(3)]
    assert all(isinstance(scene.ask(token), Caller) for token in [short, *tokens])
    scene.authenticator.revocations.replace("file", [Revocation("jti", ISS, "j0")], scene.now)
    assert cause(scene.ask(tokens[0])) == (401, "revoked jti")
    scene.now += 100 * S
    assert cause(scene.ask(short)) == (401, "token expired")
    scene.now -= 50 * S  # a clock that is set back brings it back at most as far as the clock itself
    assert isinstance(scene.ask(short), Caller)
    scene.keys(NEW)  # k1 is retired
    assert cause(scene.ask(tokens[1]))[0] in (401, 503)
    other = TokenSigner("k1")  # another key under the same name proves none of the old ones
    scene.keys(other, NEW)
    assert cause(scene.ask(tokens[2])) == (401, "token signature")


def test_a_key_on_its_way_is_waited_for_and_one_that_never_comes_is_refused() -> None:
    scene = Scene(OLD)
    token = NEW.token("coast-1")
    assert cause(scene.ask(token)) == (503, "key not known yet")
    assert len(scene.authenticator.unknown_keys) == 1
    scene.now += S
    scene.keys(OLD)  # read once more, and still not there
    assert cause(scene.ask(token)) == (401, "token key")
    scene.now += S
    scene.keys(OLD, NEW)
    assert isinstance(scene.ask(token), Caller) and not scene.authenticator.unknown_keys


def test_a_request_in_hand_keeps_its_caller_when_its_tenant_goes() -> None:
    scene = Scene()
    found = scene.ask(OLD.token("coast-1"))
    assert isinstance(found, Caller)
    scene.authorizer.configure(
        TenantDirectory(scene.tenants[1:], scene.bindings[1:]), AuthenticationPolicy(), scene.now
    )
    assert found.tenant.name == "coast" and scene.authorizer.limiter.total_open == 1
    assert cause(scene.ask(OLD.token("coast-1"))) == (403, "no tenant")
    scene.authorizer.release(found)
    assert scene.authorizer.limiter.total_open == 0 and "coast" not in scene.authorizer.limiter.usage


def test_rights_classs_and_groups() -> None:
    scene, looks = Scene(), OLD.token("looks")
    assert cause(scene.ask(OLD.token("coast-1"), group=9)) == (403, "group")
    assert cause(scene.ask(looks, op="00" * 16)) == (403, "right")
    assert cause(scene.ask(looks, class_name="video")) == (403, "track")
    assert cause(scene.ask(OLD.token("nobody"))) == (403, "no tenant")
    assert cause(scene.ask()) == (401, "no credentials")
    assert isinstance(Scene(allow_anonymous=True).ask(), Rejection)  # no tenant of that name: still nobody


def test_an_operation_key_belongs_to_one_tenant() -> None:
    scene, one, two = Scene(), OLD.token("coast-1"), OLD.token("inland-1")
    assert isinstance(scene.ask(one, op="ab" * 16), Caller)
    assert isinstance(
        scene.ask(OLD.token("coast-2"), op="ab" * 16), Caller
    )  # a repeat with a new token of its own
    found = scene.ask(two, op="ab" * 16, group=9)
    assert (
        cause(found) == (429, "operation key in use")
        and isinstance(found, Rejection)
        and found.retry_after_us == 6 * S
    )
    scene.now += 6 * S + 1
    assert isinstance(scene.ask(two, op="ab" * 16, group=9), Caller)
    assert cause(scene.ask(two, op="c0" * 16, group=9)) == (403, "operation key")


def test_certificates_and_tokens_together() -> None:
    scene = Scene()
    coast, both = (
        CertificateIdentity("CN=ca", "1f", ("uri:coast",)),
        CertificateIdentity("CN=ca", "20", ("uri:coast", "uri:inland")),
    )
    assert isinstance(scene.ask(identity=coast), Caller)
    assert cause(scene.ask(identity=both)) == (401, "two tenants")
    assert isinstance(scene.ask(OLD.token("coast-1"), coast), Caller)
    assert cause(scene.ask(OLD.token("inland-1"), coast, group=9)) == (403, "token of another tenant")
    web = CertificateIdentity(
        "CN=ca", "21", ("dns:front",)
    )  # a web server of nobody's hands on the tokens of many
    assert isinstance(scene.ask(OLD.token("inland-1"), web, group=9), Caller)
    assert cause(scene.ask(identity=web)) == (401, "no tenant")
    scene.authenticator.revocations.replace("crl", [Revocation("serial", "CN=other", "1f")], scene.now)
    assert isinstance(scene.ask(identity=coast), Caller)  # that serial of another CA
    scene.authenticator.revocations.replace("crl", [Revocation("serial", "CN=ca", "1f")], scene.now)
    assert cause(scene.ask(identity=coast)) == (401, "revoked serial")


def test_a_flood_of_wrong_tokens_has_a_budget_and_pushes_nobody_out() -> None:
    scene = Scene(signature_checks=100.0, signature_checks_per_source=50.0, token_cache_size=50)
    good = OLD.token("coast-1")
    assert isinstance(scene.ask(good, source="web"), Caller)
    wrong = OLD.token("coast-1")[:-8]
    told = [cause(scene.ask(f"{wrong}{n:07d}A", source=f"bad{n % 3}"))[1] for n in range(2_000)]
    assert set(told) == {"token signature", "checks"} and told.count("token signature") < 100
    assert isinstance(scene.ask(good, source="web"), Caller)
    assert len(scene.authenticator.token_cache) <= 50
    # Whoever has shown a good token has a part of the budget that strangers can't use up.
    assert isinstance(scene.ask(OLD.token("coast-2"), source="web"), Caller)


def test_an_issuer_of_another_audience_proves_its_tokens_anew() -> None:
    scene, token = Scene(), OLD.token("coast-1")
    assert isinstance(scene.ask(token), Caller)
    held = scene.authenticator.issuers[ISS]
    scene.authenticator.replace_issuers({ISS: held.with_key_set(KeySet({"k1": key(OLD)}), scene.now, "else")})
    assert cause(scene.ask(token)) == (401, "token aud")


# The ring against a plain model.


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(["make", "publish", "sign", "retire", "yield"])),
        max_size=40,
    )
)
def test_a_ring_holds_one_signer_and_nothing_comes_back(steps: list[tuple[str, str]]) -> None:
    held: tuple[KeyEntry, ...] = ()
    model: dict[str, str] = {}
    for at, (kid, event) in enumerate(steps):
        try:
            held = add_key(held, kid, at) if event == "make" else transition(held, kid, KeyEvent(event), at)
            done = True
        except KeyTransitionError:
            done = False
        was = model.get(kid)
        able = {
            "make": was is None,
            "publish": was == "made",
            "sign": was in ("published", "verifying"),
            "retire": was in ("made", "published", "verifying"),
            "yield": was == "signing",
        }[event]
        assert done == able, (kid, event, model)
        if able:
            if event == "sign":
                model = {name: "verifying" if state == "signing" else state for name, state in model.items()}
            model[kid] = {
                "make": "made",
                "publish": "published",
                "sign": "signing",
                "retire": "retired",
                "yield": "verifying",
            }[event]
        assert {entry.kid: entry.state for entry in held} == model
        assert list(model.values()).count("signing") <= 1


@given(
    st.lists(
        st.text("ab", min_size=0, max_size=4).map(lambda t: t + "*") | st.text("ab", min_size=1, max_size=4),
        max_size=8,
        unique=True,
    ),
    st.text("ab", max_size=6),
)
def test_names_go_to_the_exact_or_the_longest_beginning(patterns: list[str], name: str) -> None:
    names = NameIndex([NameBinding("i", pattern, f"t{pattern}") for pattern in patterns])
    fits = [p for p in patterns if p == name or (p.endswith("*") and name.startswith(p[:-1]))]
    want = f"t{name}" if name in patterns else f"t{max(fits, key=len)}" if fits else ""
    assert names.tenant("i", name) == want and names.tenant("j", name) == ""


@given(
    st.floats(1, 1_000), st.lists(st.tuples(st.floats(0, 500), st.floats(0.1, 10)), min_size=1, max_size=9)
)
def test_the_level_gives_weighted_max_min_shares(space: float, wants: list[tuple[float, float]]) -> None:
    height = water_level(space, [Demand(*want) for want in wants])
    got = [min(want, weight * height) for want, weight in wants]
    assert sum(got) <= space * 1.000001
    if sum(want for want, _ in wants) <= space:
        assert got == [want for want, _ in wants]
    else:
        assert sum(got) == pytest.approx(space)
        # Nobody who got less than it wants stands lower than anybody else.
        short = [g / w for g, (want, w) in zip(got, wants, strict=True) if g < want * 0.999999]
        assert all(
            high <= low * 1.000001
            for low in short
            for high in (g / w for g, (_, w) in zip(got, wants, strict=True))
        )


def test_a_herd_of_one_tenant_leaves_the_others_their_places() -> None:
    limiter, chance, now = TenantLimiter(), Random(5), 0
    weights = {"herd": 1.0, "a": 1.0, "b": 2.0}
    limiter.configure({name: TenantQuota(0.0, 0, 0, weight) for name, weight in weights.items()}, now)
    ends: list[tuple[int, str]] = []
    asked, got = {"herd": 0, "a": 0, "b": 0}, {"herd": 0, "a": 0, "b": 0}
    for _ in range(60_000):
        now += 500
        for at, name in [row for row in ends if row[0] <= now]:
            limiter.release(name)
            ends.remove((at, name))
        name = chance.choices(["herd", "a", "b"], [90, 5, 5])[0]
        asked[name] += 1
        rejection = limiter.acquire(name, now, open_limit(60, limiter.total_open, 0))
        if rejection is None:
            got[name] += 1
            ends.append((now + chance.randrange(50_000, 150_000), name))
        assert limiter.total_open <= 60
    assert all(got[name] >= 0.99 * asked[name] for name in "ab")  # each wants 10 places of its 15 and 30
    assert got["herd"] > 0.75 * (18_000 - got["a"] - got["b"])  # what is left is the herd's


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take a", "take b", "give a", "give b", "drop b", "back b", "wait"]),
            st.integers(0, 3_000_000),
        ),
        max_size=120,
    )
)
def test_accounts_against_a_plain_count(steps: list[tuple[str, int]]) -> None:
    limiter, now = TenantLimiter(), 0
    limits = {"a": TenantQuota(5.0, 3, 4, 1.0), "b": TenantQuota(0.0, 0, 6, 2.0)}
    limiter.configure(limits, now)
    model, tokens, at = {"a": 0, "b": 0}, 3.0, 0
    for step, gap in steps:
        now += gap
        what, _, name = step.partition(" ")
        if what == "take" and name in limiter.usage and name in limiter.configured:
            tokens, at = min(3.0, tokens + (now - at) * 5e-6), now
            full = model[name] >= limits[name].max_open
            want = "open visits" if full else "rate" if name == "a" and tokens < 0.9999999 else ""
            if abs(tokens - 1.0) > 1e-6 or name == "b":
                found = limiter.acquire(name, now, 0)
                assert (found.reason if found else "") == want
                assert found is None or found.retry_after_us > 0
                if found is None:
                    model[name] += 1
                    tokens -= name == "a"
        elif what == "give" and model[name]:
            limiter.release(name)
            model[name] -= 1
        elif what in ("drop", "back"):
            limiter.configure(limits if what == "back" else {"a": limits["a"]}, now)
        assert limiter.total_open == sum(model.values())
        assert all(row.open == model[n] for n, row in limiter.usage.items())
        assert ("b" in limiter.usage) == ("b" in limiter.configured or model["b"] > 0)


def test_buckets_and_checks_know_no_time_that_runs_back() -> None:
    bucket = TokenBucket(10.0, 2.0, 5 * S)
    assert [bucket.take(5 * S) for _ in range(3)] == [0, 0, 100_001]
    assert bucket.take(0) > 0 and bucket.take(5 * S + 200_000) == 0
    checks = SignatureBudget(8.0, 4.0, 0, max_sources=2)
    for n in range(50):
        checks.take(f"s{n}", n)
    assert checks.source_count == 2


@pytest.mark.parametrize(
    "words",
    [
        ("key", "", "k"),
        ("name", "i", "n"),
        ("serial", "", "0x1F"),
        ("what", "", "v"),
        ("jti", "i", ""),
        ("jti", "i", "x" * 300),
    ],
)
def test_a_revocation_that_says_nothing_is_refused(words: tuple[str, str, str]) -> None:
    with pytest.raises(InvalidRevocationError):
        Revocation(*words)


def test_revocations_past_their_time_are_let_go() -> None:
    held = RevocationSet()
    held.replace("file", [Revocation("key", "i", "k", 10), Revocation("subject", "i", "s")], 11)
    assert len(held) == 1 and held.revoked_part_of_token("i", "k", "t", "") == ""
    assert held.revoked_part_of_token("i", "k", "s", "") == "subject"
    before = held.generation
    held.replace("file", [Revocation("subject", "i", "s")], 12)
    assert held.generation == before
