//! Tests of the replicated log.

mod driver;
mod group;
mod odd;
mod random;
mod scripted;
mod steps;
mod storage;
