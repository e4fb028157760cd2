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
}

impl FaultSwitch {
    pub(crate) fn fill_disk(&self) {
        self.full_disk.store(true, atomic::Ordering::SeqCst);
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

    fn check_sync(&self) -> io::Result<()> {
        if self.failing_sync.load(atomic::Ordering::SeqCst) {
            return Err(io::Error::other("injected sync failure"));
        }
        Ok(())
    }
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
        if let Err(error) = self.switch.check_write() {
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
        self.switch.check_write()?;
        Ok(FaultFile {
            file: storage::FileBackend.create(file)?,
            switch: self.switch.clone(),
        })
    }

    fn truncate(&self, file: &path::Path, length_bytes: u64) -> io::Result<()> {
        storage::FileBackend.truncate(file, length_bytes)
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
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
