//! Validated names, idempotency keys and checkpoints, stored as shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes.
const NAME_LIMIT: usize = 63;
/// Maximum length of an idempotency key in bytes.
const KEY_LIMIT: usize = 128;
/// Maximum length of a checkpoint's name in bytes.
const CHECKPOINT_LIMIT: usize = 1_024;

/// Reason why a name, key or checkpoint is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BadName {
    /// The value is empty or longer than the limit in bytes.
    #[error("{what} has {length} bytes, allowed are 1 to {limit}")]
    Length {
        /// Type of the value: `name`, `key` or `checkpoint`.
        what: &'static str,
        /// Length of the value in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The value contains a character that is not allowed.
    #[error("{what} {value:?} holds {found:?}, allowed are {allowed}")]
    Character {
        /// Type of the value: `name`, `key` or `checkpoint`.
        what: &'static str,
        /// The invalid value.
        value: String,
        /// The first character that is not allowed.
        found: char,
        /// Description of the allowed characters.
        allowed: &'static str,
    },
}

/// Name of a service, kind, resource, agent, data centre or shop.
///
/// Names are 1 to 63 bytes of lower-case letters, digits, `-`, `_` and `.`. Clones share the
/// string.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Validates a name.
    ///
    /// # Errors
    ///
    /// [`BadName`] if the value is empty, too long or contains another character.
    pub fn new(value: &str) -> Result<Self, BadName> {
        check("name", value, NAME_LIMIT, "a-z, 0-9, '-', '_' and '.'", |c| {
            c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
        })?;
        Ok(Self(value.into()))
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Idempotency key of a request: 1 to 128 visible ASCII characters.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

impl Key {
    /// Validates a key.
    ///
    /// # Errors
    ///
    /// [`BadName`] if the value is empty, too long or contains another character.
    pub fn new(value: &str) -> Result<Self, BadName> {
        check("key", value, KEY_LIMIT, "visible ASCII characters", |c| c.is_ascii_graphic())?;
        Ok(Self(value.into()))
    }

    /// The key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Partition of this key if the key space has `count` partitions.
    pub fn partition(&self, count: u32) -> u32 {
        crc32fast::hash(self.0.as_bytes()) % count
    }
}

/// Name of a checkpoint, assigned by a back end and opaque to the scheduler: 1 to 1,024 visible
/// ASCII characters.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Checkpoint(Arc<str>);

impl Checkpoint {
    /// Validates the name of a checkpoint.
    ///
    /// # Errors
    ///
    /// [`BadName`] if the value is empty, too long or contains another character.
    pub fn new(value: &str) -> Result<Self, BadName> {
        let allowed = "visible ASCII characters";
        check("checkpoint", value, CHECKPOINT_LIMIT, allowed, |c| c.is_ascii_graphic())?;
        Ok(Self(value.into()))
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Checks the length and the characters of a value.
fn check(
    what: &'static str,
    value: &str,
    limit: usize,
    allowed: &'static str,
    valid: impl Fn(char) -> bool,
) -> Result<(), BadName> {
    let length = value.len();
    if length == 0 || length > limit {
        return Err(BadName::Length { what, length, limit });
    }
    match value.chars().find(|&c| !valid(c)) {
        Some(found) => Err(BadName::Character { what, value: value.to_owned(), found, allowed }),
        None => Ok(()),
    }
}

/// Implements the conversions and formatting common to names, keys and checkpoints.
macro_rules! shared_string {
    ($type:ident) => {
        impl TryFrom<String> for $type {
            type Error = BadName;

            fn try_from(value: String) -> Result<Self, BadName> {
                Self::new(&value)
            }
        }

        impl std::str::FromStr for $type {
            type Err = BadName;

            fn from_str(value: &str) -> Result<Self, BadName> {
                Self::new(value)
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> Self {
                value.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

shared_string!(Checkpoint);
shared_string!(Key);
shared_string!(Name);
