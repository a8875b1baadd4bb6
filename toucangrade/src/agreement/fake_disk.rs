//! In-memory disk with failures and crashes, for tests and randomised runs.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::disk::Disk;
use super::next_random;

#[derive(Clone, Debug, Default)]
struct Content {
    durable: Vec<u8>,
    current: Vec<u8>,
    /// Bytes that a failed sync covered. They can be read, but no later sync writes them.
    lost: Range<usize>,
}

#[derive(Debug, Default)]
struct Files {
    contents: Vec<Content>,
    /// Positions in `contents`.
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// See [`FakeDisk::set_limit`].
    limit: Option<usize>,
    /// See [`FakeDisk::fail_after`].
    operations_left: Option<u64>,
    syncs: u64,
}

impl Content {
    fn sync(&mut self, outcome: io::Result<()>) -> io::Result<()> {
        if outcome.is_err() {
            if self.lost.is_empty() && self.current.starts_with(&self.durable) {
                self.lost = self.durable.len()..self.current.len();
            }
            return outcome;
        }
        self.durable = self.current.clone();
        let end = self.lost.end.min(self.durable.len());
        let start = self.lost.start.min(end);
        self.durable[start..end].fill(0);
        Ok(())
    }

    fn truncate(&mut self, length: usize) {
        self.current.truncate(length);
        self.lost.end = self.lost.end.min(length);
    }
}

/// A disk that outlives the simulated process that uses it.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeDisk(Arc<Mutex<Files>>);

impl FakeDisk {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The file operations of this disk, for [`Storage`](super::storage::Storage).
    pub(super) fn disk(&self) -> Disk {
        let files = || self.clone();
        Disk {
            append: Box::new({
                let disk = files();
                move |name, data| disk.files().append(name, data)
            }),
            list: Box::new({
                let disk = files();
                move || Ok(disk.files().names.keys().cloned().collect())
            }),
            read: Box::new({
                let disk = files();
                move |name| {
                    let mut files = disk.files();
                    let content = files.content(name)?;
                    Ok(content.current.clone())
                }
            }),
            remove: Box::new({
                let disk = files();
                move |name| {
                    let mut files = disk.files();
                    files.check_failure()?;
                    files.names.remove(name).map(|_| ()).ok_or_else(missing)
                }
            }),
            rename: Box::new({
                let disk = files();
                move |from, to| {
                    let mut files = disk.files();
                    files.check_failure()?;
                    let content = files.names.remove(from).ok_or_else(missing)?;
                    files.names.insert(to.to_owned(), content);
                    Ok(())
                }
            }),
            sync: Box::new({
                let disk = files();
                move |name| {
                    let mut files = disk.files();
                    let outcome = files.check_failure();
                    files.syncs += u64::from(outcome.is_ok());
                    files.content(name)?.sync(outcome)
                }
            }),
            sync_names: Box::new({
                let disk = files();
                move || {
                    let mut files = disk.files();
                    files.check_failure()?;
                    files.durable_names = files.names.clone();
                    Ok(())
                }
            }),
            truncate: Box::new({
                let disk = files();
                move |name, length| {
                    let mut files = disk.files();
                    files.check_failure()?;
                    let length = usize::try_from(length).map_err(io::Error::other)?;
                    files.content(name)?.truncate(length);
                    Ok(())
                }
            }),
        }
    }

    /// Number of file syncs.
    pub(super) fn syncs(&self) -> u64 {
        self.files().syncs
    }

    /// Names of the files with their sizes in bytes.
    pub(super) fn sizes(&self) -> BTreeMap<String, usize> {
        let files = self.files();
        let size =
            |(name, &at): (&String, &usize)| (name.clone(), files.contents[at].current.len());
        files.names.iter().map(size).collect()
    }

    /// Fails writes that exceed this total size of all files in bytes.
    pub(super) fn set_limit(&self, limit: Option<usize>) {
        self.files().limit = limit;
    }

    /// Lets `operations` more operations succeed, then fails all until the next crash or call.
    pub(super) fn fail_after(&self, operations: u64) {
        self.files().operations_left = Some(operations);
    }

    /// Drops unsynced data, except for random parts that the operating system may have written.
    pub(super) fn crash(&self, random: &mut u64) {
        let mut files = self.files();
        files.operations_left = None;
        if next_random(random).is_multiple_of(2) {
            files.names = files.durable_names.clone();
        }
        files.durable_names = files.names.clone();
        for content in &mut files.contents {
            if content.current.starts_with(&content.durable) {
                let unsynced = content.current.len() - content.durable.len();
                let kept = next_random(random) as usize % (unsynced + 1);
                let length = content.durable.len() + kept;
                content.current.truncate(length);
                // A block that was allocated but not written has arbitrary content.
                if kept > 0 && next_random(random).is_multiple_of(2) {
                    content.current[length - 1] ^= 0x5a;
                }
            } else if next_random(random).is_multiple_of(2) {
                content.current = content.durable.clone();
            }
            content.durable = content.current.clone();
            content.lost = 0..0;
        }
    }

    /// Removes all files.
    pub(super) fn wipe(&self) {
        *self.files() = Files::default();
    }

    /// Inverts the lowest bit of a byte.
    pub(super) fn flip_bit(&self, name: &str, offset: usize) {
        if let Ok(content) = self.files().content(name) {
            content.current[offset] ^= 1;
            content.durable = content.current.clone();
        }
    }

    /// Removes this many bytes at the end of a file.
    pub(super) fn tear(&self, name: &str, bytes: usize) {
        if let Ok(content) = self.files().content(name) {
            let length = content.current.len().saturating_sub(bytes);
            content.current.truncate(length);
            content.durable = content.current.clone();
        }
    }
}

impl Files {
    fn check_failure(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("injected failure")),
            Some(left) => {
                *left -= 1;
                Ok(())
            },
            None => Ok(()),
        }
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let at = self.names.get(name).ok_or_else(missing)?;
        Ok(&mut self.contents[*at])
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let outcome = self.check_failure();
        if !self.names.contains_key(name) {
            self.names.insert(name.to_owned(), self.contents.len());
            self.contents.push(Content::default());
        }
        let used: usize = self.names.values().map(|&at| self.contents[at].current.len()).sum();
        let room = self.limit.map_or(usize::MAX, |limit| limit.saturating_sub(used));
        let written = match outcome {
            Ok(()) => data.len().min(room),
            Err(_) => data.len() / 2,
        };
        self.content(name)?.current.extend_from_slice(&data[..written]);
        outcome?;
        if written < data.len() {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on device"));
        }
        Ok(())
    }
}

fn missing() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "no such file")
}
