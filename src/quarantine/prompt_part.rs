//! Parts of prompts that several requests have in common.

use std::fmt;

use macro_rules_attribute::apply;

use crate::derives::key;

/// Id of a part of a prompt. Requests that share the part have the same id.
#[apply(key!)]
pub(crate) struct PromptPart(pub(crate) u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
