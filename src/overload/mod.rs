//! What is decided when there is more work than places: pure functions of facts and the present time,
//! without input and output. Each module names the load pattern that it answers.

mod come_back;
#[cfg(test)]
mod tests;

pub(crate) use come_back::{come_back_after, is_returned};
