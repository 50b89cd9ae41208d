//! The sets of derives that recur through the crate, each under one name. A type says which kind
//! of value it is (`key!`, `plain!`, `message!`) and gets the set that fits, so that two messages
//! never differ in what can be done with them.

/// A small key or closed enum: copied freely, ordered, hashed, usable in sorted vectors.
macro_rules! key {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $($item)*
    };
}

/// A value held in state: cloned and compared, never sent.
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// A value that crosses a process boundary.
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

pub(crate) use {key, message, plain};
