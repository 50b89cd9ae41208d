//! An operator's request to change a document, and the check whether its author may make the
//! change.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use subtle::{Choice, ConstantTimeEq};

use super::document_record::{AcceptedChange, DocumentRecord, RECENT_CHANGES_MAX};
use super::schema::ServiceDocument;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::WallTime;

/// The BLAKE3 digest of a key, in hex. The key itself is never stored.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct KeyDigest(ByteString);

/// Number of leading digest characters that identify a key in the history; too few to search for
/// the full digest elsewhere.
const SHORT_DIGEST_LENGTH: usize = 8;

impl KeyDigest {
    /// Computes the digest of `key`.
    pub(crate) fn of_key(key: &[u8]) -> Self {
        Self(blake3::hash(key).to_hex().as_str().into())
    }

    /// Whether this digest equals `digest`, compared in constant time.
    pub(crate) fn matches(&self, digest: &str) -> bool {
        self.constant_time_eq(digest).into()
    }

    /// Whether this digest equals one of `digests`. All of them are compared, so that the time does
    /// not depend on which one matches.
    pub(crate) fn matches_any(&self, digests: &[ByteString]) -> bool {
        let no_match = Choice::from(0);
        let found = digests.iter().fold(no_match, |found, digest| {
            found | self.constant_time_eq(digest)
        });
        found.into()
    }

    /// The full digest in hex, as documents contain it.
    pub(crate) fn hex(&self) -> &str {
        &self.0
    }

    /// The first characters of the digest, which distinguish keys in the history.
    pub(crate) fn short_hex(&self) -> &str {
        &self.0[..SHORT_DIGEST_LENGTH]
    }

    fn constant_time_eq(&self, digest: &str) -> Choice {
        self.0.as_bytes().ct_eq(digest.as_bytes())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyDigest({}…)", self.short_hex())
    }
}

/// An operator's request to change a document that has already been validated.
#[apply(plain!)]
pub(crate) struct ChangeRequest {
    /// The name of the service.
    pub(crate) service: ByteString,
    /// The version that the change replaces; 0 if no document may exist yet.
    pub(crate) replaces: u64,
    /// Identifies the change; a repeated request carries the same nonce.
    pub(crate) nonce: ByteString,
    /// Whether the author declares this the first attempt. Otherwise a write of an earlier attempt
    /// may still reach the table.
    pub(crate) is_first_attempt: bool,
    /// The author's name, shown in the history.
    pub(crate) author: ByteString,
    /// The digest of the key that the author presented.
    pub(crate) key: KeyDigest,
    /// The digest of the operators' key.
    pub(crate) operator_key_digest: ByteString,
    /// The new document as submitted, before parsing.
    pub(crate) document: serde_json::Value,
}

impl ChangeRequest {
    /// Checks that the author may replace `current`.
    ///
    /// The team that owns the service may change its document. The operators' key may create
    /// documents. In an existing document it may change only the list of the team's keys, so that a
    /// team that has lost its keys regains access.
    ///
    /// # Errors
    ///
    /// `NotAllowed` if the author may not make this change, and `MessageInvalid` if the current
    /// record cannot be parsed.
    pub(crate) fn check_author(&self, current: Option<&DocumentRecord>) -> SwitchResult<()> {
        let is_operator = self.key.matches(&self.operator_key_digest);
        let Some(current) = current else {
            return require_allowed(is_operator, "only the operators' key may create a document");
        };
        let current_document = current.parse_document()?.document;
        if self.key.matches_any(&current_document.change_key_digests) {
            return Ok(());
        }
        let only_keys = is_operator && self.changes_keys_only(&current_document);
        let detail = format!(
            "the key is not one of team {}; the operators' key may change change_key_digests only",
            current_document.team
        );
        require_allowed(only_keys, &detail)
    }

    fn changes_keys_only(&self, current: &ServiceDocument) -> bool {
        let requested: Result<ServiceDocument, _> = serde_json::from_value(self.document.clone());
        let Ok(mut requested) = requested else {
            return false;
        };
        requested
            .change_key_digests
            .clone_from(&current.change_key_digests);
        requested == *current
    }

    /// The record that replaces `current` when the change is applied.
    pub(crate) fn next_record(
        &self,
        current: Option<&DocumentRecord>,
        wall: WallTime,
    ) -> DocumentRecord {
        let version = self.replaces + 1;
        let mut recent = current.map_or_else(Vec::new, |current| current.recent.clone());
        recent.push(AcceptedChange {
            version,
            nonce: self.nonce.clone(),
        });
        let surplus = recent.len().saturating_sub(RECENT_CHANGES_MAX);
        recent.drain(..surplus);
        DocumentRecord {
            version,
            nonce: self.nonce.clone(),
            changed_by: format!("{} (key {})", self.author, self.key.short_hex()).into(),
            changed_wall_ms: wall.0,
            recent,
            document: self.document.clone(),
        }
    }
}

fn require_allowed(allowed: bool, detail: &str) -> SwitchResult<()> {
    if allowed {
        Ok(())
    } else {
        Err(SwitchError::new(ErrorKind::NotAllowed, detail))
    }
}
