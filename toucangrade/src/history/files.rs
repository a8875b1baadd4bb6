//! Segment files of the durable history, all in one folder. A file is a sequence of frames, each
//! with a length and a checksum.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use bytes::{BufMut, Bytes, BytesMut};

use super::archive::{Segment, hash};
use super::{Body, Frame, Item, Place, Ranges, Source};

/// Size of a frame header, which consists of the item's length and CRC-32.
const HEADER_BYTES: usize = 8;
/// File extension of segment files.
const ENDING: &str = "history";

/// Segments found on disk when the folder is opened.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) segments: Vec<Segment>,
    /// Item numbers of each source in the segments.
    pub(crate) held: BTreeMap<Source, Ranges>,
    /// Number of bytes truncated from the ends of segments because they were no valid frames.
    pub(crate) cut: u64,
}

/// The folder of segment files.
#[derive(Debug)]
pub(crate) struct Files {
    folder: PathBuf,
    /// Number and file of the segment that is being written.
    current: Option<(u32, File)>,
}

/// Builds the frame of an item from its encoded bytes.
pub(crate) fn frame(item: &Item, encoded: &[u8]) -> Frame {
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + encoded.len());
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

/// Returns the encoded item of the frame at `offset` and the offset of the next frame; `None` if
/// there is no complete frame with a valid checksum.
fn decode_frame(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let rest = bytes.get(offset..)?;
    let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(rest.get(4..HEADER_BYTES)?.try_into().ok()?);
    let item = rest.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    // A crash may leave zeros at the end of a file, which would otherwise be valid empty items.
    (length > 0 && crc32fast::hash(item) == checksum)
        .then_some((item, offset + HEADER_BYTES + length))
}

impl Files {
    /// Opens the folder, or creates it, and reads every segment; `decode` decodes an item.
    ///
    /// Bytes after the last valid frame of a segment are truncated and counted: a crash leaves an
    /// incomplete frame at the end, and the history must not prevent control from starting.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the folder can't be read or written.
    pub(crate) fn open(
        folder: &Path,
        decode: impl Fn(&[u8]) -> Option<Item>,
    ) -> io::Result<(Self, Found)> {
        fs::create_dir_all(folder)?;
        let mut found = Found::default();
        let files = Self { folder: folder.to_owned(), current: None };
        let mut numbers: Vec<u32> = Vec::new();
        for file in fs::read_dir(folder)? {
            let path = file?.path();
            if path.extension().is_some_and(|extension| extension == ENDING) {
                numbers.extend(path.file_stem().and_then(|s| s.to_str()?.parse::<u32>().ok()));
            }
        }
        numbers.sort_unstable();
        for number in numbers {
            let bytes = fs::read(files.path(number))?;
            let mut segment = Segment { number, ..Segment::default() };
            let mut offset = 0;
            while let Some((encoded, next)) = decode_frame(&bytes, offset) {
                if let Some(item) = decode(encoded) {
                    if let Body::Outcome(outcome) = &item.body {
                        segment.index.push((hash(&outcome.key), offset as u32));
                    }
                    let source = (item.entry, item.incarnation);
                    segment.add_item(source.clone(), item.number);
                    found.held.entry(source).or_default().insert(item.number);
                }
                offset = next;
            }
            segment.bytes = offset as u64;
            if offset < bytes.len() {
                found.cut += (bytes.len() - offset) as u64;
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

    /// Writes frames at `offset`, the end of a segment, and syncs the file.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The segment still ends at `offset`: the next write
    /// truncates what this one has left.
    pub(crate) fn append(&mut self, number: u32, offset: u64, frames: &[Frame]) -> io::Result<()> {
        let switched = self.current.as_ref().is_none_or(|(open, _)| *open != number);
        if switched {
            let mut options = OpenOptions::new();
            let file = options.create(true).truncate(false).write(true).open(self.path(number))?;
            File::open(&self.folder)?.sync_all()?;
            self.current = Some((number, file));
        }
        let Some((_, file)) = &mut self.current else { return Ok(()) };
        let mut write = || {
            if file.metadata()?.len() < offset {
                return Err(io::Error::other("an earlier write to the segment failed"));
            }
            // Truncates what a failed write may have left.
            file.set_len(offset)?;
            file.seek(SeekFrom::Start(offset))?;
            let data: Vec<u8> =
                frames.iter().flat_map(|frame| frame.bytes.iter()).copied().collect();
            file.write_all(&data)?;
            file.sync_data()
        };
        let result = write();
        if result.is_err() {
            self.current = None;
        }
        result
    }

    /// Deletes a segment.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the file can't be deleted.
    pub(crate) fn remove(&mut self, number: u32) -> io::Result<()> {
        if self.current.as_ref().is_some_and(|(open, _)| *open == number) {
            self.current = None;
        }
        fs::remove_file(self.path(number))
    }

    /// Returns the encoded item of the frame at a position; `None` if it is damaged or removed.
    pub(crate) fn read(&self, place: Place) -> Option<Bytes> {
        let (number, offset) = place;
        let mut file = File::open(self.path(number)).ok()?;
        file.seek(SeekFrom::Start(offset)).ok()?;
        let mut header = [0; HEADER_BYTES];
        file.read_exact(&mut header).ok()?;
        let length = u32::from_le_bytes(header[..4].try_into().ok()?);
        let mut frame = header.to_vec();
        file.take(u64::from(length)).read_to_end(&mut frame).ok()?;
        decode_frame(&frame, 0).map(|(item, _)| Bytes::copy_from_slice(item))
    }

    /// Calls `visit` with each encoded item of a segment, up to the first damaged frame.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the file can't be read.
    pub(crate) fn scan(&self, number: u32, mut visit: impl FnMut(&[u8])) -> io::Result<()> {
        let bytes = fs::read(self.path(number))?;
        let mut offset = 0;
        while let Some((item, next)) = decode_frame(&bytes, offset) {
            visit(item);
            offset = next;
        }
        Ok(())
    }
}
