//! A bitmap of the chunks of a version.

use macro_rules_attribute::apply;

use crate::derives::message;

const BITS: u32 = u8::BITS;

/// A set of chunk indexes below a fixed count, one bit per chunk.
#[apply(message!)]
#[derive(Eq, Default)]
pub(crate) struct ChunkMap {
    count: u32,
    #[serde(with = "serde_bytes")]
    bits: Vec<u8>,
}

impl ChunkMap {
    /// The empty set of indexes below `count`.
    pub(crate) fn empty(count: u32) -> Self {
        let bytes = usize::try_from(count.div_ceil(BITS)).unwrap_or(usize::MAX);
        Self {
            count,
            bits: vec![0; bytes],
        }
    }

    /// The set of all indexes below `count`.
    pub(crate) fn full(count: u32) -> Self {
        let mut map = Self::empty(count);
        (0..count).for_each(|index| map.insert(index));
        map
    }

    /// Whether the bitmap has the right length and its count equals `count`. Maps received from
    /// other processes must be checked with this.
    pub(crate) fn fits(&self, count: u32) -> bool {
        self.count == count && self.bits.len() == Self::empty(count).bits.len()
    }

    /// Adds `index`; does nothing if it is not below the count.
    pub(crate) fn insert(&mut self, index: u32) {
        if index < self.count {
            self.bits[byte_of(index)] |= 1 << (index % BITS);
        }
    }

    /// Removes `index`.
    pub(crate) fn remove(&mut self, index: u32) {
        if index < self.count {
            self.bits[byte_of(index)] &= !(1 << (index % BITS));
        }
    }

    /// Whether the set contains `index`.
    pub(crate) fn contains(&self, index: u32) -> bool {
        index < self.count
            && self
                .bits
                .get(byte_of(index))
                .is_some_and(|byte| byte & (1 << (index % BITS)) != 0)
    }

    /// Number of chunks in the set.
    pub(crate) fn len(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Whether the set contains every index.
    pub(crate) fn is_full(&self) -> bool {
        self.len() == self.count
    }

    /// Number of chunks of the version.
    pub(crate) const fn count(&self) -> u32 {
        self.count
    }
}

fn byte_of(index: u32) -> usize {
    usize::try_from(index / BITS).unwrap_or(usize::MAX)
}
