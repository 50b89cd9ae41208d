//! A change of a document as an operator asks for it, and who may make it.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use subtle::{Choice, ConstantTimeEq};

use super::document_record::{AcceptedChange, DocumentRecord, RECENT_CHANGES};
use super::schema::ServiceDocument;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::WallTime;

/// The BLAKE3 digest of a key, in hex. The key itself is dropped where it was read.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct KeyDigest(ByteString);

/// How many characters of a digest name the key in history; too few to look it up anywhere.
const KEY_NAME_LENGTH: usize = 8;

impl KeyDigest {
    /// The digest of `key`.
    pub(crate) fn of_key(key: &[u8]) -> Self {
        Self(blake3::hash(key).to_hex().as_str().into())
    }

    /// Whether it is `digest`, in a time that does not depend on where they differ.
    pub(crate) fn is(&self, digest: &str) -> bool {
        self.same(digest).into()
    }

    /// Whether it is among `digests`; all of them are compared, whichever fits.
    pub(crate) fn matches_any(&self, digests: &[ByteString]) -> bool {
        let none = Choice::from(0);
        let found = digests
            .iter()
            .fold(none, |found, digest| found | self.same(digest));
        found.into()
    }

    /// The whole digest, to be put into a document.
    pub(crate) fn hex(&self) -> &str {
        &self.0
    }

    /// The beginning of the digest, to tell keys apart in history.
    pub(crate) fn name(&self) -> &str {
        &self.0[..KEY_NAME_LENGTH]
    }

    fn same(&self, digest: &str) -> Choice {
        self.0.as_bytes().ct_eq(digest.as_bytes())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyDigest({}…)", self.name())
    }
}

/// A change that an operator asks for. The document has been checked.
#[apply(plain!)]
pub(crate) struct ChangeRequest {
    /// The service.
    pub(crate) service: ByteString,
    /// The version that the change replaces; 0 when there must be none yet.
    pub(crate) replaces: u64,
    /// Names the change; the same when it is asked for again.
    pub(crate) nonce: ByteString,
    /// Whether the author says that it was never asked for before. If not, an earlier try may
    /// still be on its way into the table.
    pub(crate) is_first_attempt: bool,
    /// The author's name, for people.
    pub(crate) author: ByteString,
    /// The digest of the key that the author presented.
    pub(crate) key: KeyDigest,
    /// The digest of the operators' key.
    pub(crate) operator_key_digest: ByteString,
    /// The document, as it was given.
    pub(crate) document: serde_json::Value,
}

impl ChangeRequest {
    /// Whether the author may replace `standing`.
    ///
    /// The team that owns the service changes its document. The operators' key creates documents,
    /// and may replace the list of the team's keys and nothing else, so that a team that lost its
    /// keys gets its document back.
    ///
    /// # Errors
    ///
    /// `NotAllowed` when not.
    pub(crate) fn check_author(&self, standing: Option<&DocumentRecord>) -> SwitchResult<()> {
        let is_operator = self.key.is(&self.operator_key_digest);
        let Some(standing) = standing else {
            return allow(is_operator, "only the operators' key creates a document");
        };
        let owned = standing.parse_document()?.document;
        if self.key.matches_any(&owned.change_key_digests) {
            return Ok(());
        }
        let only_keys = is_operator && self.changes_keys_only(&owned);
        let detail = format!(
            "the key is none of team {}'s; the operators' key may change change_key_digests only",
            owned.team
        );
        allow(only_keys, &detail)
    }

    fn changes_keys_only(&self, standing: &ServiceDocument) -> bool {
        let wanted: Result<ServiceDocument, _> = serde_json::from_value(self.document.clone());
        let Ok(mut wanted) = wanted else {
            return false;
        };
        wanted
            .change_key_digests
            .clone_from(&standing.change_key_digests);
        wanted == *standing
    }

    /// The record that the change makes over `standing`.
    pub(crate) fn next_record(
        &self,
        standing: Option<&DocumentRecord>,
        wall: WallTime,
    ) -> DocumentRecord {
        let version = self.replaces + 1;
        let mut recent = standing.map_or_else(Vec::new, |standing| standing.recent.clone());
        recent.push(AcceptedChange {
            version,
            nonce: self.nonce.clone(),
        });
        let surplus = recent.len().saturating_sub(RECENT_CHANGES);
        recent.drain(..surplus);
        DocumentRecord {
            version,
            nonce: self.nonce.clone(),
            changed_by: format!("{} (key {})", self.author, self.key.name()).into(),
            changed_wall_ms: wall.0,
            recent,
            document: self.document.clone(),
        }
    }
}

fn allow(allowed: bool, otherwise: &str) -> SwitchResult<()> {
    if allowed {
        Ok(())
    } else {
        Err(SwitchError::new(ErrorKind::NotAllowed, otherwise))
    }
}
