//! The crate's error type, the closed list of error kinds, and the table that maps each kind to the
//! response that a caller gets. `docs/ERRORS.md` shows the same table; a test compares the two.

mod kind;
mod switch_error;
mod table;

pub use kind::ErrorKind;
pub use switch_error::{SwitchError, SwitchResult};
pub use table::{ErrorSpec, RetryAdvice, RunOutcome, error_spec};
