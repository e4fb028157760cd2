//! The option that names a request, under which it is applied once.

use rand::RngExt;

const REQUEST: &str = "request";

/// Returns the definition of the option.
pub(super) fn request_argument() -> clap::Arg {
    clap::Arg::new(REQUEST)
        .long(REQUEST)
        .value_name("ID")
        .help("Request id: a repeat under the same id is applied once [default: a random one]")
}

/// Takes the request id from a parsed command line, or draws one.
pub(super) fn request_from(matches: &clap::ArgMatches) -> String {
    matches.get_one(REQUEST).cloned().unwrap_or_else(|| {
        let id: u128 = rand::rng().random();
        format!("{id:032x}")
    })
}
