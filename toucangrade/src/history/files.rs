//! Segment files of the durable history: checksummed frames, one folder, one file per segment.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use bytes::{BufMut, Bytes, BytesMut};

use super::archive::{Segment, hash};
use super::{Body, Frame, Item, Place, Ranges, Source};

/// Bytes before the item of a frame: its length and its CRC-32.
const HEAD: usize = 8;
/// Ending of segment files.
const ENDING: &str = "history";

/// What was found on disk.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) segments: Vec<Segment>,
    pub(crate) held: BTreeMap<Source, Ranges>,
    /// Bytes cut off because they held no valid frame.
    pub(crate) cut: u64,
}

/// The folder of segment files.
#[derive(Debug)]
pub(crate) struct Files {
    folder: PathBuf,
    /// The segment that is appended to.
    open: Option<(u32, File)>,
}

/// A frame of an item that `encode` turned into bytes.
pub(crate) fn frame(item: &Item, encoded: &[u8]) -> Frame {
    let mut bytes = BytesMut::with_capacity(HEAD + encoded.len());
    bytes.put_u32_le(encoded.len() as u32);
    bytes.put_u32_le(crc32fast::hash(encoded));
    bytes.put_slice(encoded);
    let hash = match &item.body {
        Body::Outcome(outcome) => Some(hash(&outcome.key)),
        Body::Dropped { .. } | Body::Ended(_) | Body::Evicted { .. } | Body::Summary { .. } => None,
    };
    let source = (item.entry.clone(), item.incarnation);
    Frame { source, number: item.number, hash, bytes: bytes.freeze() }
}

/// The item bytes of the frame at `offset` and where the next frame begins; `None` when there is
/// no whole frame with a matching checksum.
fn payload(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let rest = bytes.get(offset..)?;
    let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    let check = u32::from_le_bytes(rest.get(4..HEAD)?.try_into().ok()?);
    let item = rest.get(HEAD..HEAD.checked_add(length)?)?;
    // Zeros, which a crash may leave at the end of a file, would pass as empty items.
    (length > 0 && crc32fast::hash(item) == check).then_some((item, offset + HEAD + length))
}

impl Files {
    /// Opens the folder and reads every segment; `decode` turns bytes into an item.
    ///
    /// What follows the last valid frame of a segment is cut off and counted: a crash leaves a
    /// torn frame at the end, and the history must not keep control from starting.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the folder can't be read or written.
    pub(crate) fn open(
        folder: &Path,
        decode: impl Fn(&[u8]) -> Option<Item>,
    ) -> io::Result<(Self, Found)> {
        fs::create_dir_all(folder)?;
        let mut found = Found::default();
        let files = Self { folder: folder.to_owned(), open: None };
        let mut numbers: Vec<u32> = Vec::new();
        for file in fs::read_dir(folder)? {
            let path = file?.path();
            if path.extension().is_some_and(|ending| ending == ENDING) {
                numbers.extend(path.file_stem().and_then(|s| s.to_str()?.parse::<u32>().ok()));
            }
        }
        numbers.sort_unstable();
        for number in numbers {
            let bytes = fs::read(files.path(number))?;
            let mut segment = Segment { number, ..Segment::default() };
            let mut at = 0;
            while let Some((encoded, next)) = payload(&bytes, at) {
                if let Some(item) = decode(encoded) {
                    if let Body::Outcome(outcome) = &item.body {
                        segment.index.push((hash(&outcome.key), at as u32));
                    }
                    let source = (item.entry, item.incarnation);
                    segment.note(source.clone(), item.number);
                    found.held.entry(source).or_default().insert(item.number);
                }
                at = next;
            }
            segment.bytes = at as u64;
            if at < bytes.len() {
                found.cut += (bytes.len() - at) as u64;
                let file = OpenOptions::new().write(true).open(files.path(number))?;
                file.set_len(segment.bytes)?;
                file.sync_all()?;
            }
            found.segments.push(segment);
        }
        Ok((files, found))
    }

    fn path(&self, number: u32) -> PathBuf {
        self.folder.join(format!("{number:010}.{ENDING}"))
    }

    /// Appends frames at `offset` of a segment and syncs them.
    ///
    /// # Errors
    ///
    /// The error of the operating system; the segment then ends at `offset` as before.
    pub(crate) fn append(&mut self, number: u32, offset: u64, frames: &[Frame]) -> io::Result<()> {
        let fresh = self.open.as_ref().is_none_or(|(open, _)| *open != number);
        if fresh {
            let mut options = OpenOptions::new();
            let file = options.create(true).truncate(false).write(true).open(self.path(number))?;
            File::open(&self.folder)?.sync_all()?;
            self.open = Some((number, file));
        }
        let Some((_, file)) = &mut self.open else { return Ok(()) };
        let mut write = || {
            if file.metadata()?.len() < offset {
                return Err(io::Error::other("an earlier write to the segment failed"));
            }
            // Cuts off what a failed write may have left.
            file.set_len(offset)?;
            file.seek(SeekFrom::Start(offset))?;
            let whole: Vec<u8> =
                frames.iter().flat_map(|frame| frame.bytes.iter()).copied().collect();
            file.write_all(&whole)?;
            file.sync_data()
        };
        let result = write();
        if result.is_err() {
            self.open = None;
        }
        result
    }

    /// Removes a segment.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the file can't be removed.
    pub(crate) fn remove(&mut self, number: u32) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| *open == number) {
            self.open = None;
        }
        fs::remove_file(self.path(number))
    }

    /// The item bytes of the frame at a place; `None` when it is damaged or gone.
    pub(crate) fn read(&self, place: Place) -> Option<Bytes> {
        let (number, offset) = place;
        let mut file = File::open(self.path(number)).ok()?;
        file.seek(SeekFrom::Start(offset)).ok()?;
        let mut head = [0; HEAD];
        file.read_exact(&mut head).ok()?;
        let length = u32::from_le_bytes(head[..4].try_into().ok()?);
        let mut frame = head.to_vec();
        file.take(u64::from(length)).read_to_end(&mut frame).ok()?;
        payload(&frame, 0).map(|(item, _)| Bytes::copy_from_slice(item))
    }

    /// Hands every item of a segment to `visit`; damaged ones end the segment.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the file can't be read.
    pub(crate) fn scan(&self, number: u32, mut visit: impl FnMut(&[u8])) -> io::Result<()> {
        let bytes = fs::read(self.path(number))?;
        let mut at = 0;
        while let Some((item, next)) = payload(&bytes, at) {
            visit(item);
            at = next;
        }
        Ok(())
    }
}
