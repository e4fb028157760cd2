//! Writes log lines without ever blocking the one who logs.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::logging;

/// Lines that may wait for the output.
const MAX_WAITING_LINES: usize = 2_048;

/// Lines that are written in a second at most; an instance under its usual load writes a tenth of that.
const MAX_LINES_PER_S: u32 = 400;

/// Writes log lines through a thread of its own and drops lines where there are too many.
///
/// The number of dropped lines is written as a line of its own.
#[derive(Debug)]
pub struct BoundedWriter {
    entries: crossbeam_channel::Sender<LogEntry>,
    dropped: sync::Arc<atomic::AtomicU64>,
    second: time::Instant,
    written: u32,
}

/// What goes to the thread of a writer.
#[derive(Debug)]
pub(super) enum LogEntry {
    /// A line.
    Line(Vec<u8>),
    /// Asks to be told once all lines before it are written.
    Mark(crossbeam_channel::Sender<()>),
}

impl BoundedWriter {
    /// Starts a writer to `output`; its thread lives as long as the writer.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (entries, inbox) = crossbeam_channel::bounded(MAX_WAITING_LINES);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = sync::Arc::clone(&dropped);
        thread::Builder::new()
            .name("log-output".to_owned())
            .spawn(move || write_lines(output, &inbox, &counter))?;
        Ok(Self {
            entries,
            dropped,
            second: time::Instant::now(),
            written: 0,
        })
    }

    /// Returns what waits for the last lines at the end of the process.
    #[must_use]
    pub fn tail(&self) -> logging::LogTail {
        logging::LogTail::new(self.entries.clone())
    }

    /// Returns whether the rate allows one more line.
    fn allows(&mut self) -> bool {
        if self.second.elapsed() >= time::Duration::from_secs(1) {
            self.second = time::Instant::now();
            self.written = 0;
        }
        self.written += 1;
        self.written <= MAX_LINES_PER_S
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.allows()
            || self
                .entries
                .try_send(LogEntry::Line(line.to_vec()))
                .is_err()
        {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    mut output: impl Write,
    inbox: &crossbeam_channel::Receiver<LogEntry>,
    dropped: &atomic::AtomicU64,
) {
    while let Ok(first) = inbox.recv() {
        let (mut lines, mut marks) = (Vec::new(), Vec::new());
        for entry in std::iter::once(first).chain(inbox.try_iter()) {
            match entry {
                LogEntry::Line(line) => lines.extend_from_slice(&line),
                LogEntry::Mark(mark) => marks.push(mark),
            }
        }
        let missing = dropped.swap(0, atomic::Ordering::Relaxed);
        if missing > 0 {
            lines.extend_from_slice(format!("dropped_log_lines={missing}\n").as_bytes());
        }
        // Without an output there is nobody to tell.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        for mark in marks {
            // Whoever waited may have gone on.
            let _ = mark.send(());
        }
    }
}
