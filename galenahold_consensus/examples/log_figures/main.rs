//! Benchmarks of the replicated log: `log_figures commits|elections|snapshots|idle [FOLDER]`.
//!
//! All members run in one process and exchange messages through channels; messages are encoded and
//! decoded as on a network. The data folders of the members are created below FOLDER, by default the
//! system's folder for temporary files.

mod bench_group;
mod bench_network;
mod blob_machine;
mod commits;
mod elections;
mod idle;
mod quantiles;
mod snapshots;

use std::env;
use std::path;
use std::process;

fn main() -> process::ExitCode {
    let mut arguments = env::args().skip(1);
    let benchmark = arguments.next();
    let folder = arguments.next().map(path::PathBuf::from);
    let folder = folder.unwrap_or_else(env::temp_dir);
    match benchmark.as_deref() {
        Some("commits") => commits::measure(&folder),
        Some("elections") => elections::measure(&folder),
        Some("snapshots") => snapshots::measure(&folder),
        Some("idle") => idle::measure(&folder),
        _ => {
            eprintln!("usage: log_figures commits|elections|snapshots|idle [FOLDER]");
            return process::ExitCode::FAILURE;
        }
    }
    process::ExitCode::SUCCESS
}
