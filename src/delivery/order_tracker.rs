//! Keeps calls with the same order key in their order of arrival.

use macro_rules_attribute::apply;

use crate::derives::key;

/// The position of one call among the calls with the same order key.
#[apply(key!)]
pub(crate) struct OrderTicket {
    order_key: u64,
    number: u64,
}

/// The calls that have not ended yet, by order key and arrival.
///
/// A call may be sent only after every earlier call with the same order key has ended. Otherwise a
/// cancellation could overtake the call that it cancels, on a second connection or by its higher
/// priority in the queue. It would cancel nothing, and the call would run afterwards: a guest who
/// had cancelled a wake-up call would be woken.
#[derive(Debug, Default)]
pub(super) struct OrderTracker {
    /// Sorted by order key, then arrival.
    tickets: Vec<OrderTicket>,
    next: u64,
}

impl OrderTracker {
    /// Adds a call whose order key hashes to `order_key` and returns its ticket.
    pub(super) fn enter(&mut self, order_key: u64) -> OrderTicket {
        let ticket = OrderTicket {
            order_key,
            number: self.next,
        };
        self.next += 1;
        if let Err(place) = self.tickets.binary_search(&ticket) {
            self.tickets.insert(place, ticket);
        }
        ticket
    }

    /// Whether every earlier call with the same order key has ended.
    pub(super) fn is_next(&self, ticket: OrderTicket) -> bool {
        match self.tickets.binary_search(&ticket) {
            Ok(place) | Err(place) => {
                place == 0 || self.tickets[place - 1].order_key != ticket.order_key
            }
        }
    }

    /// Removes a call that has ended. Returns whether it was still tracked.
    pub(super) fn leave(&mut self, ticket: OrderTicket) -> bool {
        let found = self.tickets.binary_search(&ticket);
        if let Ok(place) = found {
            self.tickets.remove(place);
        }
        found.is_ok()
    }
}
