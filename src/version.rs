//! The version that each binary tells.

use std::ffi::OsStr;

/// The flag that asks for the version, before any command.
pub const FLAG: &str = "--version";

/// What a binary answers if its first argument asks for the version.
#[must_use]
pub fn version_line(binary: &str, first: Option<&OsStr>) -> Option<String> {
    let asked = first.is_some_and(|first| first == FLAG);
    asked.then(|| format!("{binary} {}", env!("CARGO_PKG_VERSION")))
}
