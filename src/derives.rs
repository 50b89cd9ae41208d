//! Macros for sets of derives that recur in the crate. A type states its kind (`key!`, `plain!`,
//! `message!`) and gets the matching derives, so that all types of a kind support the same
//! operations.

/// A small key or closed enum: copied, ordered and hashed, usable as a key in sorted vectors.
macro_rules! key {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $($item)*
    };
}

/// A value in local state: cloned and compared, but not serialised.
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// A value that is sent to another process or stored: also serialised and deserialised.
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

pub(crate) use {key, message, plain};
