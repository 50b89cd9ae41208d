//! Authentication of a caller by the name and the secret key of its client account.

use subtle::ConstantTimeEq;

use crate::documents::AccountSpec;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Finds the account with `name` and checks `secret` against the digest of its key.
///
/// The comparison takes the same time for every wrong key, and the error does not reveal whether
/// the name or the key was wrong.
///
/// # Errors
///
/// `AccountUnknown` if there is no such account or the key is wrong.
pub(crate) fn find_account<'a>(
    accounts: &'a [AccountSpec],
    name: &str,
    secret: &str,
) -> SwitchResult<&'a AccountSpec> {
    let digest = blake3::hash(secret.as_bytes()).to_hex();
    let account = accounts.iter().find(|account| *account.name == *name);
    let expected = account.map_or("", |account| &*account.key_digest);
    let matches = expected
        .to_ascii_lowercase()
        .as_bytes()
        .ct_eq(digest.as_bytes());
    match account {
        Some(account) if bool::from(matches) => Ok(account),
        _ => Err(SwitchError::new(
            ErrorKind::AccountUnknown,
            "no client account has this name and key",
        )),
    }
}
