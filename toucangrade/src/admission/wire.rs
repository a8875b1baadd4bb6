//! Hand-written serialisation of [`Start`] and [`AgentReply`], which are sent for every attempt.
//!
//! Both are fixed sequences without field names, so that a message stays small and a sequence of
//! another length is an error instead of being filled with defaults.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::message::{AgentReply, Start};

/// Number of values in a serialised [`Start`].
const START_VALUES: usize = 12;
/// Number of values in a serialised [`AgentReply`].
const REPORTED_VALUES: usize = 5;

/// Reads the next value of a sequence; the error names the field if it is missing.
fn next<'de, T, A>(values: &mut A, field: &'static str) -> Result<T, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    values.next_element()?.ok_or_else(|| A::Error::missing_field(field))
}

impl Serialize for Start {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut values = serializer.serialize_tuple(START_VALUES)?;
        values.serialize_element(&self.key)?;
        values.serialize_element(&self.fence)?;
        values.serialize_element(&self.service)?;
        values.serialize_element(&self.kind)?;
        values.serialize_element(&self.class)?;
        values.serialize_element(&self.partition)?;
        values.serialize_element(&self.epoch)?;
        values.serialize_element(&self.incarnation)?;
        values.serialize_element(&self.start_by)?;
        values.serialize_element(&self.lease)?;
        values.serialize_element(&self.resume)?;
        values.serialize_element(&self.body)?;
        values.end()
    }
}

struct StartVisitor;

impl<'de> Visitor<'de> for StartVisitor {
    type Value = Start;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {START_VALUES} values of a start")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Start, A::Error> {
        Ok(Start {
            key: next(&mut values, "key")?,
            fence: next(&mut values, "fence")?,
            service: next(&mut values, "service")?,
            kind: next(&mut values, "kind")?,
            class: next(&mut values, "class")?,
            partition: next(&mut values, "partition")?,
            epoch: next(&mut values, "epoch")?,
            incarnation: next(&mut values, "incarnation")?,
            start_by: next(&mut values, "start_by")?,
            lease: next(&mut values, "lease")?,
            resume: next(&mut values, "resume")?,
            body: next(&mut values, "body")?,
        })
    }
}

impl<'de> Deserialize<'de> for Start {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(START_VALUES, StartVisitor)
    }
}

impl Serialize for AgentReply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut values = serializer.serialize_tuple(REPORTED_VALUES)?;
        values.serialize_element(&self.report)?;
        values.serialize_element(&self.incarnation)?;
        values.serialize_element(&self.clock)?;
        values.serialize_element(&self.used)?;
        values.serialize_element(&self.slots)?;
        values.end()
    }
}

struct ReportedVisitor;

impl<'de> Visitor<'de> for ReportedVisitor {
    type Value = AgentReply;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {REPORTED_VALUES} values of a report")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<AgentReply, A::Error> {
        Ok(AgentReply {
            report: next(&mut values, "report")?,
            incarnation: next(&mut values, "incarnation")?,
            clock: next(&mut values, "clock")?,
            used: next(&mut values, "used")?,
            slots: next(&mut values, "slots")?,
        })
    }
}

impl<'de> Deserialize<'de> for AgentReply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(REPORTED_VALUES, ReportedVisitor)
    }
}
