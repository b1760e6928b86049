//! Layout of the sources: files stay small, and the platform's names stay in its adapter.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Maximum number of lines of a source file.
const MAX_LINES: usize = 600;

/// Names of the platform's settings, messages and objects.
const PLATFORM_NAMES: [&str; 14] = [
    "AllowStale",
    "CASSIACROSS_CONFIG",
    "ColdLeftMs",
    "DatagramAddr",
    "DeploymentMode",
    "Finalizers",
    "HeartbeatIntervalMs",
    "InternalPorts",
    "MaxConns",
    "NodeName",
    "PathPrefix",
    "ReadyAddr",
    "StoreRevision",
    "TargetLatencyMs",
];

/// Returns the Rust sources below a folder of the repository.
fn sources(folder: &str) -> Vec<PathBuf> {
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join(folder)];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder can be listed") {
            let path = entry.expect("an entry can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                sources.push(path);
            }
        }
    }
    sources
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("a source can be read")
}

#[test]
fn source_files_are_small() {
    let folders = ["src", "platform", "standins/src", "xtask/src"];
    let sources = folders.into_iter().flat_map(sources);
    let large: Vec<_> = sources
        .filter(|path| read(path).lines().count() > MAX_LINES)
        .collect();
    assert_eq!(large, Vec::<PathBuf>::new());
}

#[test]
fn library_has_no_names_of_the_platform() {
    for path in sources("src") {
        let text = read(&path);
        let found = PLATFORM_NAMES.iter().find(|name| text.contains(**name));
        assert_eq!(found, None, "{}", path.display());
    }
}
