//! Rejects JSON objects with duplicate keys.
//!
//! The decoder would silently drop all but the last value of such a key.

use std::{collections::HashSet, fmt};

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Deserializes and discards any JSON value; fails if an object has a duplicate key.
#[derive(Clone, Copy)]
pub(super) struct UniqueKeys;

impl<'de> DeserializeSeed<'de> for UniqueKeys {
    type Value = IgnoredAny;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<IgnoredAny, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys {
    type Value = IgnoredAny;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<IgnoredAny, A::Error> {
        let mut keys = HashSet::new();
        while let Some(key) = map.next_key::<String>()? {
            if keys.contains(&key) {
                return Err(A::Error::custom(format_args!("key '{key}' is given twice")));
            }
            keys.insert(key);
            map.next_value_seed(self)?;
        }
        Ok(IgnoredAny)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<IgnoredAny, A::Error> {
        while sequence.next_element_seed(self)?.is_some() {}
        Ok(IgnoredAny)
    }

    fn visit_unit<E>(self) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }

    fn visit_bool<E>(self, _: bool) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }

    fn visit_i64<E>(self, _: i64) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }

    fn visit_u64<E>(self, _: u64) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }

    fn visit_f64<E>(self, _: f64) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }

    fn visit_str<E>(self, _: &str) -> Result<IgnoredAny, E> {
        Ok(IgnoredAny)
    }
}
