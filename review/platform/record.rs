//! The record of a case: what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<fs::File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("the record can be created");
        Self {
            file: Mutex::new(file),
            began: Instant::now(),
        }
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:8.3} s  {line}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no thread has panicked");
        let _ = file.write_all(line.as_bytes());
    }
}
