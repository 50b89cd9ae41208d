//! Requests under which backend servers crash: how they are known again, and when they are no longer
//! sent to any backend server. Decisions only; evidence is gathered and spread elsewhere.

mod request_digest;
#[cfg(test)]
mod tests;

pub(crate) use request_digest::{RequestDigest, RequestParts};
