//! Stand-ins and cases of the review: `standins CASE FOLDER` plays a case and writes FOLDER/record.txt.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod record;
mod replica;

use std::path::PathBuf;
use std::process::ExitCode;

/// A case that takes longer is ended as one that could not run.
const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(112);

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = std::sync::Arc::new(record::Record::create(&PathBuf::from(folder)));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let watched = std::sync::Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        watched.write("RESULT: the case could not run within its time limit");
        let _ = std::fs::remove_dir_all(fleet::temporary_folder());
        // The processes of the system get SIGKILL as their parent ends.
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::play(&case, &record, &trouble)
    }));
    match played {
        Ok(Outcome::Broken) => {
            record.write("RESULT: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Outcome::Held) => {
            record.write("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::CouldNotRun) | Err(_) => {
            record.write("RESULT: the case could not run");
            ExitCode::from(2)
        }
    }
}
