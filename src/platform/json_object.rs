//! JSON objects, decoded by the names of their fields only.
//!
//! A derived `Deserialize` also accepts a JSON array and assigns its elements to the fields in the
//! order of their declaration. Without this check, the row `[9]` decodes as a document of version 9
//! without routes, which logs `[1100]` with `routes=0`, and an array of a string, an address, a
//! string and a number decodes as a backend server.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A value that is encoded as a JSON object; arrays are rejected.
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

/// Decodes the JSON object in `bytes`.
///
/// # Errors
///
/// If `bytes` are not a JSON object, or its fields do not match those of `T`.
pub(crate) fn read_object<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice::<JsonObject<T>>(bytes).map(|object| object.0)
}
