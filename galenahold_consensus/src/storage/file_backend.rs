//! The storage backend of production processes.

use std::fs;
use std::io;
use std::io::Write;
use std::path;

use crate::storage;

/// A [`storage::StorageBackend`] on the local file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct FileBackend;

impl storage::StorageBackend for FileBackend {
    type File = fs::File;

    fn create_folder(&self, folder: &path::Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn list(&self, folder: &path::Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, file: &path::Path) -> io::Result<Vec<u8>> {
        fs::read(file)
    }

    fn create(&self, file: &path::Path) -> io::Result<Self::File> {
        fs::File::create(file)
    }

    fn truncate(&self, file: &path::Path, length_bytes: u64) -> io::Result<()> {
        let file = fs::OpenOptions::new().write(true).open(file)?;
        file.set_len(length_bytes)?;
        file.sync_all()
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, file: &path::Path) -> io::Result<()> {
        fs::remove_file(file)
    }

    fn sync_folder(&self, folder: &path::Path) -> io::Result<()> {
        fs::File::open(folder)?.sync_all()
    }
}

impl storage::StorageFile for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
