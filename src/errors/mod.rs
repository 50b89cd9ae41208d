//! Every way in which the system can refuse or fail, as one closed list of kinds, and one table
//! from kind to the answer that a caller gets. `docs/ERRORS.md` shows the same table; a test
//! compares the two.

mod kind;
mod switch_error;
mod table;

pub use kind::ErrorKind;
pub use switch_error::{SwitchError, SwitchResult};
pub use table::{ErrorSpec, RetryAdvice, RunOutcome, error_spec};
