//! Which chunks of a version somebody holds: one bit a chunk.

use macro_rules_attribute::apply;

use crate::derives::message;

const BITS: u32 = u8::BITS;

/// A set of chunk numbers below a fixed count.
#[apply(message!)]
#[derive(Eq, Default)]
pub(crate) struct ChunkMap {
    count: u32,
    #[serde(with = "serde_bytes")]
    bits: Vec<u8>,
}

impl ChunkMap {
    /// The empty set below `count`.
    pub(crate) fn empty(count: u32) -> Self {
        let bytes = usize::try_from(count.div_ceil(BITS)).unwrap_or(usize::MAX);
        Self {
            count,
            bits: vec![0; bytes],
        }
    }

    /// The set of all below `count`.
    pub(crate) fn full(count: u32) -> Self {
        let mut map = Self::empty(count);
        (0..count).for_each(|index| map.insert(index));
        map
    }

    /// Whether its bytes go with its count and `count` is what was expected; a map from another
    /// process need not.
    pub(crate) fn fits(&self, count: u32) -> bool {
        self.count == count && self.bits.len() == Self::empty(count).bits.len()
    }

    /// Puts `index` in; one beyond the count is left out.
    pub(crate) fn insert(&mut self, index: u32) {
        if index < self.count {
            self.bits[byte_of(index)] |= 1 << (index % BITS);
        }
    }

    /// Takes `index` out.
    pub(crate) fn remove(&mut self, index: u32) {
        if index < self.count {
            self.bits[byte_of(index)] &= !(1 << (index % BITS));
        }
    }

    /// Whether `index` is in.
    pub(crate) fn contains(&self, index: u32) -> bool {
        index < self.count
            && self
                .bits
                .get(byte_of(index))
                .is_some_and(|byte| byte & (1 << (index % BITS)) != 0)
    }

    /// How many are in.
    pub(crate) fn len(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Whether all are in.
    pub(crate) fn is_full(&self) -> bool {
        self.len() == self.count
    }

    /// How many there could be.
    pub(crate) const fn count(&self) -> u32 {
        self.count
    }
}

fn byte_of(index: u32) -> usize {
    usize::try_from(index / BITS).unwrap_or(usize::MAX)
}
