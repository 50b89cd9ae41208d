//! Admission: which requests may enter, and in what order they go.

mod account_key;

pub(crate) use account_key::find_account;
