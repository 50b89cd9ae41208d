//! How urgent a request is, compared with others of its service.

use macro_rules_attribute::apply;

use crate::derives::key;

/// Priorities of one kind that engines are told apart; less urgent ones count as the last.
const ENGINE_LEVELS: u8 = 3;

/// How urgent a request is; the lowest is the most urgent. The priority of the client account takes
/// precedence, and that of the route decides between requests whose accounts are equally urgent.
#[apply(key!)]
#[derive(Default)]
pub(crate) struct PriorityRank {
    account: u8,
    route: u8,
}

impl PriorityRank {
    /// The rank of a request whose account has the priority `account`, if any, and whose route has
    /// the priority `route`.
    pub(crate) fn new(account: Option<u8>, route: u8) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }

    /// The rank as one number for the queues of engines, from 0 to 8.
    pub(crate) fn engine_level(self) -> u8 {
        let last = ENGINE_LEVELS - 1;
        self.account.min(last) * ENGINE_LEVELS + self.route.min(last)
    }
}
