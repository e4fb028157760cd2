//! Storage backend with fault injection.

use std::fs;
use std::io;
use std::path;
use std::sync;
use std::sync::atomic;

use galenahold_consensus::storage;
use galenahold_consensus::storage::StorageBackend;
use galenahold_consensus::storage::StorageFile;

/// A shared switch that selects the injected faults.
#[derive(Debug, Clone, Default)]
pub(crate) struct FaultSwitch {
    full_disk: sync::Arc<atomic::AtomicBool>,
    failing_sync: sync::Arc<atomic::AtomicBool>,
    refused: sync::Arc<sync::Mutex<Option<RefusedWrite>>>,
    refusals: sync::Arc<atomic::AtomicUsize>,
}

/// A kind of write that is refused while all others succeed.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RefusedWrite {
    /// Appends of a record of this kind to the write-ahead log, by its name in the encoding.
    Record(&'static str),
    /// Appends of more than this number of bytes, as on a disk that is nearly full.
    Larger(usize),
    /// Creating a file whose name begins so.
    Create(&'static str),
    /// Renaming a file to a name that begins so.
    Rename(&'static str),
}

impl FaultSwitch {
    pub(crate) fn fill_disk(&self) {
        self.full_disk.store(true, atomic::Ordering::SeqCst);
    }

    pub(crate) fn free_disk(&self) {
        self.full_disk.store(false, atomic::Ordering::SeqCst);
    }

    /// Refuses one kind of write, or accepts all again.
    pub(crate) fn refuse(&self, write: Option<RefusedWrite>) {
        *self.lock_refused() = write;
    }

    /// Returns how many writes of a refused kind were attempted.
    pub(crate) fn refusals(&self) -> usize {
        self.refusals.load(atomic::Ordering::SeqCst)
    }

    pub(crate) fn fail_syncs(&self, failing: bool) {
        self.failing_sync.store(failing, atomic::Ordering::SeqCst);
    }

    fn check_write(&self) -> io::Result<()> {
        if self.full_disk.load(atomic::Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn check_record(&self, bytes: &[u8]) -> io::Result<()> {
        self.check_write()?;
        let refused = match *self.lock_refused() {
            Some(RefusedWrite::Record(kind)) => bytes
                .windows(kind.len())
                .any(|part| part == kind.as_bytes()),
            Some(RefusedWrite::Larger(max_bytes)) => bytes.len() > max_bytes,
            _ => false,
        };
        self.refuse_if(refused)
    }

    fn check_create(&self, file: &path::Path) -> io::Result<()> {
        self.check_write()?;
        let refused = matches!(*self.lock_refused(), Some(RefusedWrite::Create(prefix))
            if has_prefix(file, prefix));
        self.refuse_if(refused)
    }

    fn check_rename(&self, to: &path::Path) -> io::Result<()> {
        let refused = matches!(*self.lock_refused(), Some(RefusedWrite::Rename(prefix))
            if has_prefix(to, prefix));
        self.refuse_if(refused)
    }

    fn refuse_if(&self, refused: bool) -> io::Result<()> {
        if refused {
            self.refusals.fetch_add(1, atomic::Ordering::SeqCst);
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn lock_refused(&self) -> sync::MutexGuard<'_, Option<RefusedWrite>> {
        self.refused
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn check_sync(&self) -> io::Result<()> {
        if self.failing_sync.load(atomic::Ordering::SeqCst) {
            return Err(io::Error::other("injected sync failure"));
        }
        Ok(())
    }
}

fn has_prefix(file: &path::Path, prefix: &str) -> bool {
    file.file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
}

/// The local file system with injected faults.
#[derive(Debug, Clone, Default)]
pub(crate) struct FaultBackend {
    pub(crate) switch: FaultSwitch,
}

/// A local file with injected faults.
#[derive(Debug)]
pub(crate) struct FaultFile {
    file: fs::File,
    switch: FaultSwitch,
}

impl StorageFile for FaultFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.switch.check_record(bytes) {
            self.file.append(&bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.switch.check_sync()?;
        self.file.sync()
    }
}

impl StorageBackend for FaultBackend {
    type File = FaultFile;

    fn create_folder(&self, folder: &path::Path) -> io::Result<()> {
        storage::FileBackend.create_folder(folder)
    }

    fn list(&self, folder: &path::Path) -> io::Result<Vec<String>> {
        storage::FileBackend.list(folder)
    }

    fn read(&self, file: &path::Path) -> io::Result<Vec<u8>> {
        storage::FileBackend.read(file)
    }

    fn create(&self, file: &path::Path) -> io::Result<FaultFile> {
        self.switch.check_create(file)?;
        Ok(FaultFile {
            file: storage::FileBackend.create(file)?,
            switch: self.switch.clone(),
        })
    }

    fn truncate(&self, file: &path::Path, length_bytes: u64) -> io::Result<()> {
        storage::FileBackend.truncate(file, length_bytes)
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        self.switch.check_rename(to)?;
        storage::FileBackend.rename(from, to)
    }

    fn remove(&self, file: &path::Path) -> io::Result<()> {
        storage::FileBackend.remove(file)
    }

    fn sync_folder(&self, folder: &path::Path) -> io::Result<()> {
        self.switch.check_sync()?;
        storage::FileBackend.sync_folder(folder)
    }
}
