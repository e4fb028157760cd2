//! The last lines of a process are written before it ends.

use std::io;
use std::io::Write;
use std::sync;
use std::thread;
use std::time;

use galenahold::BoundedWriter;

/// An output that takes its time for each write.
struct SlowOutput {
    pause: time::Duration,
    written: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
        let mut written = self.written.lock().expect("no thread has panicked");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Found by the soak's seed 14: a process that stopped as planned left no line that said so.
#[test]
fn last_lines_are_written_before_the_end() {
    let written = sync::Arc::default();
    let output = SlowOutput {
        pause: time::Duration::from_millis(50),
        written: sync::Arc::clone(&written),
    };
    let mut writer = BoundedWriter::start(output).expect("a thread can be started");
    for line in ["instance stops\n", "instance stopped\n"] {
        writer.write_all(line.as_bytes()).expect("it never fails");
    }
    assert!(writer.tail().wait(time::Duration::from_secs(30)));
    let written = written.lock().expect("no thread has panicked");
    assert_eq!(&*written, b"instance stops\ninstance stopped\n");
}

#[test]
fn output_that_takes_nothing_does_not_hold_the_end_up_for_ever() {
    let output = SlowOutput {
        pause: time::Duration::from_hours(1),
        written: sync::Arc::default(),
    };
    let mut writer = BoundedWriter::start(output).expect("a thread can be started");
    writer.write_all(b"a line\n").expect("it never fails");
    assert!(!writer.tail().wait(time::Duration::from_millis(20)));
}
