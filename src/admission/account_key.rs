//! Who calls: an account's name and key against the document.

use subtle::ConstantTimeEq;

use crate::documents::AccountSpec;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The account that goes with `name` and `secret`.
///
/// The comparison takes the same time for every wrong key, and the answer does not tell whether
/// the name or the key was wrong.
///
/// # Errors
///
/// `AccountUnknown`.
pub(crate) fn find_account<'a>(
    accounts: &'a [AccountSpec],
    name: &str,
    secret: &str,
) -> SwitchResult<&'a AccountSpec> {
    let digest = blake3::hash(secret.as_bytes()).to_hex();
    let account = accounts.iter().find(|account| *account.name == *name);
    let known = account.map_or("", |account| &*account.key_digest);
    let fits = known
        .to_ascii_lowercase()
        .as_bytes()
        .ct_eq(digest.as_bytes());
    match account {
        Some(account) if bool::from(fits) => Ok(account),
        _ => Err(SwitchError::new(
            ErrorKind::AccountUnknown,
            "no client account goes with this name and key",
        )),
    }
}
