//! Shared immutable names and idempotency keys.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, in bytes.
const NAME_LIMIT: usize = 63;
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;
/// Longest name of a checkpoint, in bytes.
const CHECKPOINT_LIMIT: usize = 1_024;

/// Why a name or key was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BadName {
    /// The value is empty or longer than the limit in bytes.
    #[error("{what} has {length} bytes, allowed are 1 to {limit}")]
    Length {
        /// Whether a name, a key or a checkpoint was parsed.
        what: &'static str,
        /// Length of the value in bytes.
        length: usize,
        /// Greatest length in bytes.
        limit: usize,
    },
    /// The value holds a character that is not allowed.
    #[error("{what} {value:?} holds {found:?}, allowed are {allowed}")]
    Character {
        /// Whether a name or a key was parsed.
        what: &'static str,
        /// The refused value.
        value: String,
        /// The first character that is not allowed.
        found: char,
        /// The characters that are allowed, in words.
        allowed: &'static str,
    },
}

/// Name of a service, kind, resource, agent, data centre or shop.
///
/// Names are 1 to 63 bytes of lower-case letters, digits, `-`, `_` and `.`. Cloning shares the
/// string.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Checks and shares a name.
    ///
    /// # Errors
    ///
    /// [`BadName`] when the value is empty, too long or holds another character.
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
    /// Checks and shares a key.
    ///
    /// # Errors
    ///
    /// [`BadName`] when the value is empty, too long or holds an invisible character.
    pub fn new(value: &str) -> Result<Self, BadName> {
        check("key", value, KEY_LIMIT, "visible ASCII characters", |c| c.is_ascii_graphic())?;
        Ok(Self(value.into()))
    }

    /// The key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Partition of the key space that this key belongs to, out of `count` partitions.
    pub fn partition(&self, count: u32) -> u32 {
        crc32fast::hash(self.0.as_bytes()) % count
    }
}

/// Name that a back end gave to a checkpoint: 1 to 1,024 visible ASCII characters, opaque to the
/// system.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Checkpoint(Arc<str>);

impl Checkpoint {
    /// Checks and shares the name of a checkpoint.
    ///
    /// # Errors
    ///
    /// [`BadName`] when the value is empty, too long or holds an invisible character.
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

/// Checks length and characters of a value.
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

/// Implements the conversions that names, keys and checkpoints share.
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
