//! Durable state of an instance: identity, term, vote, snapshot and log.
//!
//! The log is a sequence of append-only segment files. A frame holds one or more entries, which
//! replace all earlier ones from the index of the first on. Each frame is synced before the next
//! one is written, so a crash can leave only the last frame incomplete.

use std::io;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::disk::Disk;
use super::message::{Entry, Message, Replica, Snapshot, Store};

/// Size in bytes from which a segment gets no further frames.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Size of the frame header: length and checksum of the payload, then a checksum of these two, each
/// a little-endian `u32`.
const HEADER_BYTES: usize = 12;
const META_FILE: &str = "meta";
const TEMPORARY: &str = ".tmp";
/// File that is written and removed again to find out whether the disk takes writes.
const PROBE_FILE: &str = "probe.tmp";
/// Size of the probe, a block of common file systems.
const PROBE_BYTES: usize = 4_096;

/// Why a data directory can't be used.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    /// Durable data is damaged. The instance must be replaced, or the file restored.
    #[error("{file} is corrupt at byte {offset}: {reason}")]
    Corrupt { file: String, offset: u64, reason: &'static str },
    #[error("data directory can't be read or written: {0}")]
    Io(#[from] io::Error),
    #[error("the data directory belongs to {found}, not to {expected}")]
    OtherName { found: String, expected: String },
}

/// An incomplete write at the end of the log, left behind by a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Torn {
    pub(crate) file: String,
    pub(crate) offset: u64,
    /// Number of bytes removed.
    pub(crate) bytes: u64,
}

/// State recovered from the data directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recovered {
    pub(crate) identity: u64,
    pub(crate) term: u64,
    pub(crate) vote: Option<Replica>,
    pub(crate) snapshot: Snapshot,
    /// Entries after the snapshot.
    pub(crate) entries: Vec<Entry>,
    pub(crate) torn: Option<Torn>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Meta {
    me: Replica,
    term: u64,
    vote: Option<Replica>,
}

/// Content of a frame of the log.
#[derive(Debug, Deserialize)]
enum Record {
    Entries(Vec<Entry>),
    /// A snapshot replaced the log, which continues after `index`.
    Reset {
        index: u64,
        term: u64,
    },
}

/// The same content as `Record`, borrowed for writing.
#[derive(Serialize)]
#[serde(rename = "Record")]
enum RecordRef<'a> {
    Entries(&'a [Entry]),
    Reset { index: u64, term: u64 },
}

#[derive(Debug)]
struct Segment {
    number: u64,
    /// Index of the first entry, or the index after the reset that the segment starts with.
    first: u64,
    size: u64,
}

impl Segment {
    fn file(&self) -> String {
        segment_file(self.number)
    }
}

/// Performs `Store` effects on a data directory.
pub(crate) struct Storage {
    disk: Disk,
    meta: Meta,
    segments: Vec<Segment>,
    snapshot: u64,
    written: u64,
    /// Whether a write failed, so that the end of the log is unknown until the files are reopened.
    failed: bool,
}

impl Storage {
    /// Recovers the data directory, or sets up an empty one with `identity`.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when a file can't be read or written, or holds damaged data. An incomplete
    /// frame at the end of the log is removed and reported in [`Recovered::torn`] instead.
    pub(crate) fn open(mut disk: Disk, me: Replica) -> Result<(Self, Recovered), OpenError> {
        let names = remove_temporary(&mut disk)?;
        let meta = Meta { me, term: 0, vote: None };
        let has_log =
            numbers(&names, segment_file).chain(numbers(&names, snapshot_file)).count() > 0;
        if !has_log && !names.iter().any(|name| name == META_FILE) {
            write_file(&mut disk, META_FILE, &meta)?;
        }
        let mut storage =
            Self { disk, meta, segments: Vec::new(), snapshot: 0, written: 0, failed: false };
        let recovered = storage.load()?;
        Ok((storage, recovered))
    }

    /// Reads all files of the data directory.
    fn load(&mut self) -> Result<Recovered, OpenError> {
        let names = remove_temporary(&mut self.disk)?;
        if !names.iter().any(|name| name == META_FILE) {
            return Err(corrupt(META_FILE, 0, "the file is missing"));
        }
        self.meta = read_file(&mut self.disk, META_FILE)?;
        let snapshot: Snapshot = match numbers(&names, snapshot_file).max() {
            Some(index) => read_file(&mut self.disk, &snapshot_file(index))?,
            None => Snapshot::default(),
        };
        self.snapshot = snapshot.index;
        let segments: Vec<u64> = numbers(&names, segment_file).collect();
        let (entries, torn) = self.recover_log(&segments, &snapshot)?;
        Ok(Recovered {
            identity: self.meta.me.identity,
            term: self.meta.term,
            vote: self.meta.vote.clone(),
            snapshot,
            entries,
            torn,
        })
    }

    /// Performs a `Store` effect and returns the answer to it. Between a failure and a successful
    /// `Reopen`, all other effects are dropped without an answer.
    pub(crate) fn answer(&mut self, seq: u64, store: &Store) -> Option<Message> {
        let outcome = match store {
            Store::Reopen => self.reopen().map(|found| Message::Reopened(Box::new(found))),
            _ if self.failed => return None,
            store => self.perform(store).map(|()| Message::Synced { upto: seq }),
        };
        self.failed = outcome.is_err();
        Some(outcome.unwrap_or_else(|error| Message::StoreFailed { reason: error.to_string() }))
    }

    /// Makes the storage usable after a failed write, once the disk takes writes again.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the disk still fails, or when durable data is damaged.
    fn reopen(&mut self) -> Result<Recovered, OpenError> {
        remove_temporary(&mut self.disk)?;
        (self.disk.append)(PROBE_FILE, &[0; PROBE_BYTES])?;
        (self.disk.sync)(PROBE_FILE)?;
        (self.disk.remove)(PROBE_FILE)?;
        self.remove_unsynced()?;
        // `remove_unsynced` needs the sizes again if the files can't be read.
        let segments = std::mem::take(&mut self.segments);
        self.load().inspect_err(|_| self.segments = segments)
    }

    /// Removes what was written to the log after its last successful sync. After a failed sync, a
    /// later one may succeed without having written that data, although it can be read.
    fn remove_unsynced(&mut self) -> io::Result<()> {
        let names = (self.disk.list)()?;
        let synced = self.segments.iter().rfind(|segment| segment.size > 0);
        let last = synced.map(|segment| segment.number);
        for number in numbers(&names, segment_file).filter(|number| Some(*number) > last) {
            (self.disk.remove)(&segment_file(number))?;
        }
        if let Some(segment) = synced {
            (self.disk.truncate)(&segment.file(), segment.size)?;
            (self.disk.sync)(&segment.file())?;
        }
        // The replacement of a file may have succeeded without its sync.
        (self.disk.sync_names)()
    }

    /// Fails when the data directory belongs to an instance of another name.
    pub(crate) fn check_name(&self, name: &crate::core::Name) -> Result<(), OpenError> {
        let found = &self.meta.me.name;
        if found == name {
            return Ok(());
        }
        Err(OpenError::OtherName { found: found.to_string(), expected: name.to_string() })
    }

    /// Bytes written since the start.
    pub(crate) fn written(&self) -> u64 {
        self.written
    }

    /// Makes a change durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system. After an error, the end of the log is unknown until the
    /// files are reopened.
    pub(crate) fn perform(&mut self, store: &Store) -> Result<(), OpenError> {
        match store {
            Store::Append(entries) => {
                let Some(first) = entries.first().map(|entry| entry.index) else {
                    return Ok(());
                };
                self.write_frame(first, &RecordRef::Entries(entries), false)?;
            },
            Store::Reopen => {
                self.reopen()?;
            },
            Store::Snapshot { snapshot, reset } => {
                let (index, term) = (snapshot.index, snapshot.term);
                let file = snapshot_file(index);
                self.written += write_file(&mut self.disk, &file, snapshot.as_ref())?;
                if *reset {
                    self.write_frame(index + 1, &RecordRef::Reset { index, term }, true)?;
                }
                self.compact(index)?;
            },
            Store::Vote { term, vote } => {
                self.meta.term = *term;
                self.meta.vote = vote.clone();
                self.written += write_file(&mut self.disk, META_FILE, &self.meta)?;
            },
        }
        Ok(())
    }

    fn write_frame(&mut self, first: u64, record: &RecordRef<'_>, new: bool) -> io::Result<()> {
        let frame = encode(record)?;
        let last = self.segments.last();
        let new = new || last.is_none_or(|segment| segment.size >= SEGMENT_BYTES);
        if new {
            let number = last.map_or(0, |segment| segment.number + 1);
            let size = 0;
            self.segments.push(Segment { number, first, size });
        }
        if let Some(segment) = self.segments.last_mut() {
            let file = segment.file();
            (self.disk.append)(&file, &frame)?;
            (self.disk.sync)(&file)?;
            if new {
                (self.disk.sync_names)()?;
            }
            segment.size += frame.len() as u64;
            self.written += frame.len() as u64;
        }
        Ok(())
    }

    /// Removes the earlier snapshot, and the segments that the durable one at `index` covers.
    fn compact(&mut self, index: u64) -> io::Result<()> {
        if self.snapshot > 0 && self.snapshot != index {
            (self.disk.remove)(&snapshot_file(self.snapshot))?;
        }
        self.snapshot = index;
        // Entries from the first index of the next segment on are replaced by that segment.
        while self.segments.get(1).is_some_and(|next| next.first <= index + 1) {
            let segment = self.segments.remove(0);
            (self.disk.remove)(&segment.file())?;
        }
        Ok(())
    }

    fn recover_log(
        &mut self,
        numbers: &[u64],
        snapshot: &Snapshot,
    ) -> Result<(Vec<Entry>, Option<Torn>), OpenError> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut next = None;
        let mut torn = None;
        for (position, &number) in numbers.iter().enumerate() {
            let file = segment_file(number);
            let content = (self.disk.read)(&file)?;
            let mut offset = 0;
            let mut start = None;
            while offset < content.len() {
                let Some((record, length)) = decode::<Record>(&content[offset..]) else {
                    let last = position + 1 == numbers.len();
                    torn = Some(self.truncate_torn(&file, &content, offset, last)?);
                    break;
                };
                let gap = corrupt(&file, offset as u64, "entries are missing before this frame");
                let first = match record {
                    Record::Entries(batch) => {
                        let Some(first) = batch.first().map(|entry| entry.index) else {
                            return Err(corrupt(&file, offset as u64, "a frame has no entries"));
                        };
                        if next.is_none_or(|next| first > next) {
                            // Entries of removed segments are covered by the snapshot.
                            if first > snapshot.index + 1 {
                                return Err(gap);
                            }
                            entries.clear();
                        }
                        entries.truncate(entries.partition_point(|entry| entry.index < first));
                        next = batch.last().map(|entry| entry.index + 1);
                        entries.extend(batch);
                        first
                    },
                    Record::Reset { index, .. } => {
                        if index > snapshot.index {
                            return Err(gap);
                        }
                        entries.clear();
                        next = Some(index + 1);
                        index + 1
                    },
                };
                start = start.or(Some(first));
                offset += length;
            }
            // A segment without a whole frame is left by a crash and gets the next frame.
            let first = start.or(next).unwrap_or(snapshot.index + 1);
            let size = offset as u64;
            self.segments.push(Segment { number, first, size });
        }
        let (index, term) = (snapshot.index, snapshot.term);
        let ends = next.is_some_and(|next| next <= index);
        let differs = |entry: &Entry| entry.index == index && entry.term != term;
        if ends || entries.iter().any(differs) {
            // A crash happened between the write of the snapshot and the reset of the log.
            entries.clear();
            self.write_frame(index + 1, &RecordRef::Reset { index, term }, true)?;
        }
        entries.retain(|entry| entry.index > index);
        Ok((entries, torn))
    }

    /// Removes an incomplete frame at the end of the log, and fails if it is not at the end.
    fn truncate_torn(
        &mut self,
        file: &str,
        content: &[u8],
        offset: usize,
        last: bool,
    ) -> Result<Torn, OpenError> {
        // A whole frame after this one proves that this one was durable.
        let later =
            (offset + 1..content.len()).any(|at| decode::<Record>(&content[at..]).is_some());
        if later || !last {
            let reason = "the checksum of a frame in the middle of the log does not match";
            return Err(corrupt(file, offset as u64, reason));
        }
        (self.disk.truncate)(file, offset as u64)?;
        (self.disk.sync)(file)?;
        Ok(Torn {
            file: file.to_owned(),
            offset: offset as u64,
            bytes: (content.len() - offset) as u64,
        })
    }
}

fn segment_file(number: u64) -> String {
    format!("log-{number:020}")
}

fn snapshot_file(index: u64) -> String {
    format!("snapshot-{index:020}")
}

/// Numbers of the files that `file` names. Files with other names don't belong to the log.
fn numbers(names: &[String], file: fn(u64) -> String) -> impl Iterator<Item = u64> {
    names.iter().filter_map(move |name| {
        let number = name.split_once('-')?.1.parse().ok()?;
        (file(number) == *name).then_some(number)
    })
}

/// Removes files whose replacement was not completed, and returns the names of the others.
fn remove_temporary(disk: &mut Disk) -> io::Result<Vec<String>> {
    let mut names = (disk.list)()?;
    for name in names.extract_if(.., |name| name.ends_with(TEMPORARY)) {
        (disk.remove)(&name)?;
    }
    Ok(names)
}

fn corrupt(file: &str, offset: u64, reason: &'static str) -> OpenError {
    OpenError::Corrupt { file: file.to_owned(), offset, reason }
}

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; HEADER_BYTES];
    rmp_serde::encode::write(&mut frame, value).map_err(io::Error::other)?;
    let length = u32::try_from(frame.len() - HEADER_BYTES).map_err(io::Error::other)?;
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..8].copy_from_slice(&checksum.to_le_bytes());
    let header = crc32fast::hash(&frame[..8]);
    frame[8..HEADER_BYTES].copy_from_slice(&header.to_le_bytes());
    Ok(frame)
}

/// Decodes the frame at the start of `data`. Returns the value and the length of the frame.
fn decode<T: DeserializeOwned>(data: &[u8]) -> Option<(T, usize)> {
    let word = |at: usize| {
        let bytes = data.get(at..at + 4)?.try_into().ok()?;
        Some(u32::from_le_bytes(bytes))
    };
    let (length, checksum, header) = (word(0)?, word(4)?, word(8)?);
    if crc32fast::hash(&data[..8]) != header {
        return None;
    }
    let end = HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let payload = data.get(HEADER_BYTES..end)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    rmp_serde::from_slice(payload).ok().map(|value| (value, end))
}

fn read_file<T: DeserializeOwned>(disk: &mut Disk, file: &str) -> Result<T, OpenError> {
    let content = (disk.read)(file)?;
    match decode(&content) {
        Some((value, length)) if length == content.len() => Ok(value),
        _ => Err(corrupt(file, 0, "the checksum does not match")),
    }
}

/// Replaces a file atomically: a crash leaves the old or the new content. Returns the bytes
/// written.
fn write_file<T: Serialize>(disk: &mut Disk, file: &str, value: &T) -> io::Result<u64> {
    let frame = encode(value)?;
    let temporary = format!("{file}{TEMPORARY}");
    (disk.append)(&temporary, &frame)?;
    (disk.sync)(&temporary)?;
    (disk.rename)(&temporary, file)?;
    (disk.sync_names)()?;
    Ok(frame.len() as u64)
}
