//! JSON objects, read by the names of their fields only.
//!
//! What is derived for a type reads a list as well, field by field in the order of the code. A row with
//! nothing but `[9]` was a document of version 9 without any route, and a list of a text, an address, a
//! text and a number was a backend server. One would notice `[1100]` with `routes=0`.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A value that is written as an object.
pub(super) struct JsonObject<T>(pub(super) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for JsonObject<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = deserializer.deserialize_map(ObjectVisitor(PhantomData));
        value.map(Self)
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields))
    }
}

/// Reads the object in `bytes`.
///
/// # Errors
///
/// When it is no object, or not with the fields of a `T`.
pub(crate) fn read_object<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice::<JsonObject<T>>(bytes).map(|object| object.0)
}
