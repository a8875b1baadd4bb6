//! File operations of the storage, as closures, so that tests can use a fake disk.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type Append = Box<dyn FnMut(&str, &[u8]) -> io::Result<()> + Send>;
type FileOp<T> = Box<dyn FnMut(&str) -> io::Result<T> + Send>;
type DirectoryOp<T> = Box<dyn FnMut() -> io::Result<T> + Send>;
type Rename = Box<dyn FnMut(&str, &str) -> io::Result<()> + Send>;
type Truncate = Box<dyn FnMut(&str, u64) -> io::Result<()> + Send>;

/// Files of one data directory, addressed by file name.
pub(crate) struct Disk {
    /// Appends to a file, which is created when it does not exist.
    pub(crate) append: Append,
    /// Names of all files.
    pub(crate) list: DirectoryOp<Vec<String>>,
    /// Whole content of a file.
    pub(crate) read: FileOp<Vec<u8>>,
    pub(crate) remove: FileOp<()>,
    /// Renames the first file to the second, which is replaced.
    pub(crate) rename: Rename,
    /// Makes the content of a file durable.
    pub(crate) sync: FileOp<()>,
    /// Makes the creation, renaming and removal of files durable.
    pub(crate) sync_names: DirectoryOp<()>,
    /// Shortens a file to a length in bytes.
    pub(crate) truncate: Truncate,
}

const LOCK_FILE: &str = "lock";

/// Files that are open for appending.
type OpenFiles = Arc<Mutex<BTreeMap<String, File>>>;

fn lock(open: &OpenFiles) -> MutexGuard<'_, BTreeMap<String, File>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Disk {
    /// The files of the directory at `path`, which is created when it does not exist.
    ///
    /// # Errors
    ///
    /// `WouldBlock` when another process uses the directory, or the error of the operating system.
    pub(crate) fn directory(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let path = path.canonicalize()?;
        if let Some(parent) = path.parent() {
            File::open(parent)?.sync_all()?;
        }
        let guard = File::create(path.join(LOCK_FILE))?;
        guard.try_lock().map_err(|error| match error {
            TryLockError::Error(error) => error,
            TryLockError::WouldBlock => {
                let text = "the data directory is used by another process";
                io::Error::new(io::ErrorKind::WouldBlock, text)
            },
        })?;
        let root: Arc<Path> = path.into();
        let open = OpenFiles::default();
        let at = |root: &Arc<Path>| {
            let root = Arc::clone(root);
            move |name: &str| root.join(name)
        };
        Ok(Self {
            append: Box::new({
                let (at, open) = (at(&root), Arc::clone(&open));
                move |name, data| {
                    let mut open = lock(&open);
                    if !open.contains_key(name) {
                        let file = OpenOptions::new().append(true).create(true).open(at(name))?;
                        open.insert(name.to_owned(), file);
                    }
                    open.get_mut(name).map_or(Ok(()), |file| file.write_all(data))
                }
            }),
            list: Box::new({
                let root = Arc::clone(&root);
                move || {
                    let mut names = Vec::new();
                    for entry in fs::read_dir(&root)? {
                        names.extend(entry?.file_name().into_string().ok());
                    }
                    names.retain(|name| name != LOCK_FILE);
                    names.sort_unstable();
                    Ok(names)
                }
            }),
            read: Box::new({
                let at = at(&root);
                move |name| fs::read(at(name))
            }),
            remove: Box::new({
                let (at, open) = (at(&root), Arc::clone(&open));
                move |name| {
                    lock(&open).remove(name);
                    fs::remove_file(at(name))
                }
            }),
            rename: Box::new({
                let (at, open) = (at(&root), Arc::clone(&open));
                move |from, to| {
                    lock(&open).remove(from);
                    fs::rename(at(from), at(to))
                }
            }),
            sync: Box::new({
                let (at, open) = (at(&root), Arc::clone(&open));
                move |name| match lock(&open).get(name) {
                    Some(file) => file.sync_data(),
                    None => OpenOptions::new().append(true).open(at(name))?.sync_data(),
                }
            }),
            sync_names: Box::new({
                let root = Arc::clone(&root);
                move || {
                    // The closure owns the lock file, so the lock lasts as long as the disk.
                    let _ = &guard;
                    File::open(&root)?.sync_all()
                }
            }),
            truncate: Box::new({
                let at = at(&root);
                move |name, length| OpenOptions::new().write(true).open(at(name))?.set_len(length)
            }),
        })
    }
}
