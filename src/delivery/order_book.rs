//! The order of calls with the same order key.

use macro_rules_attribute::apply;

use crate::derives::key;

/// One call's turn among those with its order key.
#[apply(key!)]
pub(crate) struct OrderTurn {
    order: u64,
    number: u64,
}

/// The calls that have not ended yet, by order key and arrival.
///
/// A wake-up call and its cancel come one after the other, and may be of different priority. Sent
/// out on two connections at once, or past each other in the queue, the cancel can arrive first: it
/// cancels nothing, then the wake-up runs. One would notice guests woken who had cancelled. A call
/// therefore goes only when every earlier one with its order key has ended here.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    /// Sorted.
    turns: Vec<OrderTurn>,
    next: u64,
}

impl OrderBook {
    /// Gives a call with the order key hashed to `order` its turn.
    pub(super) fn enter(&mut self, order: u64) -> OrderTurn {
        let turn = OrderTurn {
            order,
            number: self.next,
        };
        self.next += 1;
        if let Err(place) = self.turns.binary_search(&turn) {
            self.turns.insert(place, turn);
        }
        turn
    }

    /// Whether every earlier call with the same order key has ended.
    pub(super) fn may_go(&self, turn: OrderTurn) -> bool {
        match self.turns.binary_search(&turn) {
            Ok(place) | Err(place) => place == 0 || self.turns[place - 1].order != turn.order,
        }
    }

    /// The call has ended. Returns whether it was still in the book.
    pub(super) fn leave(&mut self, turn: OrderTurn) -> bool {
        let found = self.turns.binary_search(&turn);
        if let Ok(place) = found {
            self.turns.remove(place);
        }
        found.is_ok()
    }
}
