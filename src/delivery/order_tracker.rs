//! The order of calls with the same order key.

use macro_rules_attribute::apply;

use crate::derives::key;

/// One call's turn among those with its order key.
#[apply(key!)]
pub(crate) struct OrderTicket {
    order_key: u64,
    number: u64,
}

/// The calls that have not ended yet, by order key and arrival.
///
/// A wake-up call and its cancel come one after the other, and may be of different priority. Sent
/// out on two connections at once, or past each other in the queue, the cancel can arrive first: it
/// cancels nothing, then the wake-up runs. One would notice guests woken who had cancelled. A call
/// therefore goes only when every earlier one with its order key has ended here.
#[derive(Debug, Default)]
pub(super) struct OrderTracker {
    /// Sorted.
    tickets: Vec<OrderTicket>,
    next: u64,
}

impl OrderTracker {
    /// Gives a call with the order key hashed to `order_key` its turn.
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

    /// The call has ended. Returns whether it was still in the book.
    pub(super) fn leave(&mut self, ticket: OrderTicket) -> bool {
        let found = self.tickets.binary_search(&ticket);
        if let Ok(place) = found {
            self.tickets.remove(place);
        }
        found.is_ok()
    }
}
