//! Synced log of commands for a control group of one member.

#[cfg(test)]
mod tests;

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;

use crate::core::Moment;

/// Bytes before the command of a record: its length and its CRC-32.
const HEAD: usize = 8;

/// Why a log can't be opened.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    /// A record in the middle of the file is damaged.
    #[error("record at byte {offset} is damaged, and valid records follow it")]
    Corrupt {
        /// Position in the file, in bytes.
        offset: usize,
    },
    /// The file can't be read or written.
    #[error("the log can't be opened: {0}")]
    Io(#[from] io::Error),
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A command to agree on.
    Propose { ticket: Option<u64>, command: Bytes },
    /// Time passed.
    Tick,
}

/// What the duty asks for, in this order.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Writes and syncs a command.
    Append { command: Bytes },
    /// The command is durable.
    Commit { index: u64, ticket: Option<u64>, command: Bytes },
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Journal {
    index: u64,
}

impl Journal {
    /// State after `index` commands.
    pub(crate) fn new(index: u64) -> Self {
        Self { index }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, _now: Moment, message: Message) -> Vec<Effect> {
        let Message::Propose { ticket, command } = message else { return Vec::new() };
        self.index += 1;
        let index = self.index;
        vec![Effect::Append { command: command.clone() }, Effect::Commit { index, ticket, command }]
    }
}

/// The log file.
#[derive(Debug)]
pub(crate) struct Log {
    file: File,
}

impl Log {
    /// Opens the log and reads its commands; a torn tail is cut off.
    pub(crate) fn open(path: &Path) -> Result<(Self, Vec<Bytes>), OpenError> {
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (commands, end) = read_records(&bytes);
        if end < bytes.len() {
            if (end + 1..bytes.len()).any(|at| record(&bytes[at..]).is_some_and(|r| !r.is_empty()))
            {
                return Err(OpenError::Corrupt { offset: end });
            }
            tracing::warn!(offset = end, cut = bytes.len() - end, "torn tail of the log cut off");
            file.set_len(end as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::Start(end as u64))?;
        Ok((Self { file }, commands))
    }

    /// Writes and syncs one command.
    pub(crate) fn append(&mut self, command: &[u8]) -> io::Result<()> {
        let length = u32::try_from(command.len()).map_err(io::Error::other)?;
        let mut bytes = Vec::with_capacity(HEAD + command.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(command).to_le_bytes());
        bytes.extend_from_slice(command);
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }
}

fn read_records(bytes: &[u8]) -> (Vec<Bytes>, usize) {
    let (mut commands, mut at) = (Vec::new(), 0);
    while let Some(command) = record(&bytes[at..]) {
        commands.push(Bytes::copy_from_slice(command));
        at += HEAD + command.len();
    }
    (commands, at)
}

/// The command of the record at the start of `bytes`, when it is whole and undamaged.
fn record(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(4..HEAD)?.try_into().ok()?);
    let command = bytes.get(HEAD..HEAD.checked_add(length)?)?;
    (crc32fast::hash(command) == sum).then_some(command)
}
