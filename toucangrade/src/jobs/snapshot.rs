//! Encoding of snapshots of the agreed state.

use std::collections::BTreeSet;
use std::io::Cursor;

use bytes::Bytes;

use super::{JobTable, RunKey};
use crate::peer;

/// What follows the table: the settled runs and the doubtful jobs.
type Holders = (BTreeSet<RunKey>, BTreeSet<u64>);

/// Encodes a job table. What is known of the holders of runs follows it as a second value, as
/// instances of earlier versions refuse a table with a field more, and read no further than its end.
pub(crate) fn encode(table: &JobTable) -> Bytes {
    let mut bytes = peer::encode(table).to_vec();
    bytes.extend(peer::encode(&(&table.settled, &table.doubtful)));
    bytes.into()
}

/// Decodes a job table; returns `None` if the bytes are invalid. Without a second value, as earlier
/// versions write it, no run is settled.
pub(crate) fn decode(bytes: &[u8]) -> Option<JobTable> {
    let mut rest = Cursor::new(bytes);
    let mut table: JobTable = rmp_serde::from_read(&mut rest).ok()?;
    if rest.position() < bytes.len() as u64 {
        let (settled, doubtful): Holders = rmp_serde::from_read(&mut rest).ok()?;
        table.settled = settled.into_iter().filter(|key| table.live(*key).is_some()).collect();
        table.doubtful = doubtful;
    }
    Some(table)
}
