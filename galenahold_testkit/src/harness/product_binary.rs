//! Where the product's binary is.

use std::env;
use std::path;

/// Variable that names another binary.
const BINARY_VARIABLE: &str = "GALENAHOLD_BIN";
/// File name of the binary.
const BINARY_NAME: &str = "galenahold";

/// Returns the binary that `GALENAHOLD_BIN` names, else the one that was built beside this test.
#[must_use]
pub fn product_binary() -> path::PathBuf {
    sibling_binary(BINARY_VARIABLE, BINARY_NAME)
}

/// Returns the binary that `variable` names, else the one with `name` beside this process.
pub(crate) fn sibling_binary(variable: &str, name: &str) -> path::PathBuf {
    if let Some(path) = env::var_os(variable) {
        return path::PathBuf::from(path);
    }
    let own = env::current_exe().unwrap_or_default();
    // Tests stand in `deps`, one folder below the binaries.
    let folders = own.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join(name))
        .find(|binary| binary.is_file())
        .unwrap_or_else(|| path::PathBuf::from(name))
}
