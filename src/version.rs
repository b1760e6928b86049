//! The `--version` flag of the binaries.

use std::ffi::OsStr;

/// Flag that requests the version; recognized only as the first argument.
pub const FLAG: &str = "--version";

/// Returns the line with the binary's name and version if `argument`, its first argument, is
/// [`FLAG`].
#[must_use]
pub fn version_line(binary: &str, argument: Option<&OsStr>) -> Option<String> {
    let requested = argument.is_some_and(|argument| argument == FLAG);
    requested.then(|| format!("{binary} {}", env!("CARGO_PKG_VERSION")))
}
