//! Tests of the replicated log.

mod driver;
mod group;
mod invalid;
mod random;
mod scripted;
mod steps;
mod storage;
