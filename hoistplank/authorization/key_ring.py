"""The folder of an operator's signing keys: `ring.json` is the public key set, `KID.pem` a private key (mode
0600)."""

from __future__ import annotations

import contextlib
import json
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric import ed25519
from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OKPKey

from hoistplank.authorization import key_lifecycle, private_keys
from hoistplank.authorization.credential_files import (
    PRIVATE_FOLDER_MODE,
    CredentialFileError,
    read_file,
    write_file,
)
from hoistplank.authorization.jws import KEY_ID
from hoistplank.authorization.key_lifecycle import KeyEntry, KeyEvent, KeyState, KeyTransitionError
from hoistplank.authorization.key_set_files import JsonWebKey, parse_key_set, parse_rows

KEY_SET_FILE = "ring.json"
PUBLIC_MODE = 0o644
MAX_SHOWN_KEY_ID = 60  # characters of an invalid key ID in a message


class KeyRing:
    """The keys of one folder. Callers that change it must hold the folder's lock
    (`credential_files.locked`)."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.key_set_path = folder, folder / KEY_SET_FILE

    def entries(self) -> tuple[KeyEntry, ...]:
        """Returns all keys with their states: those of the key set, then those not published. Raises
        CredentialFileError."""
        rows = self._load()
        published = [
            KeyEntry(row["kid"], KeyState(row.get("state", KeyState.VERIFYING)), int(row.get("since", 0)))
            for row in rows
        ]
        return (*published, *self._unpublished({row["kid"] for row in rows}))

    def make(self, kid: str, algorithm: str, now: int) -> None:
        """Writes a new private key to the folder; it is in no key set until it is published. Raises
        KeyTransitionError, CredentialFileError."""
        if not KEY_ID(kid):
            raise KeyTransitionError(
                f"invalid key name '{kid[:MAX_SHOWN_KEY_ID]}', expected 1 to 64 letters, digits, '_' and '-'"
            )
        key_lifecycle.add_key(self.entries(), kid, now)
        self.folder.mkdir(parents=True, exist_ok=True, mode=PRIVATE_FOLDER_MODE)
        write_file(self._private_path(kid), private_keys.encode_pem(private_keys.generate(algorithm)))

    def apply(self, kid: str, event: KeyEvent, now: int) -> KeyState:
        """Applies an operator's event to a key, as `key_lifecycle` allows, and returns the new state. Raises
        KeyTransitionError, CredentialFileError."""
        after = {entry.kid: entry for entry in key_lifecycle.transition(self.entries(), kid, event, now)}
        rows = {row["kid"]: row for row in self._load()}
        if kid not in rows:
            rows[kid] = self._public_row(kid)
        for name, row in rows.items():
            row["state"], row["since"] = after[name].state.value, after[name].since_us
        document = json.dumps({"keys": list(rows.values())}, indent=1)
        write_file(self.key_set_path, document.encode() + b"\n", PUBLIC_MODE)
        if after[kid].state is KeyState.RETIRED:
            # A retired key never signs again, so its private key is deleted rather than left to be stolen.
            with contextlib.suppress(FileNotFoundError):
                self._private_path(kid).unlink()
        return after[kid].state

    def sign_token(self, claims: dict[str, Any], kid: str = "") -> str:
        """Returns a token signed with the ring's signing key, or with the key `kid`; raises
        KeyTransitionError if there is none, CredentialFileError."""
        kid = kid or key_lifecycle.signing_key(self.entries())
        key, algorithm = self._private_key(kid)
        header = {"alg": algorithm, "kid": kid, "typ": "JWT"}
        return jwt.encode(header, claims, key, algorithms=[algorithm])

    def _private_path(self, kid: str) -> Path:
        return self.folder / f"{kid}.pem"

    def _load(self) -> list[JsonWebKey]:
        if not self.key_set_path.exists():
            return []
        data = read_file(self.key_set_path)
        parse_key_set(self.key_set_path, data)
        return parse_rows(self.key_set_path, data)

    def _unpublished(self, published: set[str]) -> list[KeyEntry]:
        """Returns the private keys that are not in the key set yet."""
        return [
            KeyEntry(path.stem, KeyState.MADE, int(path.stat().st_mtime * 1e6))
            for path in sorted(self.folder.glob("*.pem"))
            if path.stem not in published
        ]

    def _public_row(self, kid: str) -> JsonWebKey:
        key, algorithm = self._private_key(kid)
        return {"kid": kid, "use": "sig", "alg": algorithm, **key.as_dict(private=False)}

    def _private_key(self, kid: str) -> tuple[OKPKey | ECKey, str]:
        path = self._private_path(kid)
        data = read_file(path, private=True)
        try:
            if isinstance(private_keys.parse_pem(path, data), ed25519.Ed25519PrivateKey):
                return OKPKey.import_key(data), "EdDSA"
            return ECKey.import_key(data), "ES256"
        except (JoseError, ValueError) as error:
            raise CredentialFileError(f"{path}: can't be used ({type(error).__name__})") from None
