//! The modules of the library, as their source files use each other, form no circle.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// A module and the modules of the library that its source names.
struct Module {
    name: String,
    uses: Vec<String>,
}

fn modules() -> Vec<Module> {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let entries = fs::read_dir(src).expect("the sources can be listed");
    let files = entries.map(|entry| entry.expect("an entry can be read").path());
    let mut sources: Vec<_> = files.filter_map(|path| source(&path)).collect();
    sources.sort();
    let names: Vec<_> = sources.iter().map(|(name, _)| name.clone()).collect();
    let modules = sources.iter().map(|(name, text)| Module {
        name: name.clone(),
        uses: uses(text, name, &names),
    });
    modules.collect()
}

/// Reads the module of a file, without its doc comments.
fn source(path: &PathBuf) -> Option<(String, String)> {
    let name = path.file_stem()?.to_str()?.to_owned();
    if path.extension()? != "rs" || name == "lib" {
        return None;
    }
    let text = fs::read_to_string(path).expect("a source can be read");
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    Some((name, code.collect::<Vec<_>>().join("\n")))
}

/// Returns the modules that a source imports from the library.
fn uses(text: &str, own: &str, names: &[String]) -> Vec<String> {
    let imports: String = text
        .split("use crate::")
        .skip(1)
        .filter_map(|rest| rest.split(';').next())
        .collect::<Vec<_>>()
        .join(" ");
    let words: Vec<_> = imports
        .split(|c: char| !c.is_alphanumeric() && c != '_')
        .collect();
    let used = names
        .iter()
        .filter(|name| words.contains(&name.as_str()) && *name != own);
    used.cloned().collect()
}

/// Removes modules that use no remaining one until none is left to remove. Those that
/// remain use a circle, or are part of one.
fn in_circles(mut modules: Vec<Module>) -> Vec<String> {
    loop {
        let names: Vec<_> = modules.iter().map(|module| module.name.clone()).collect();
        let before = modules.len();
        modules.retain(|module| module.uses.iter().any(|used| names.contains(used)));
        if modules.len() == before {
            return names;
        }
    }
}

#[test]
fn modules_form_no_circle() {
    let circles = in_circles(modules());
    assert_eq!(circles, Vec::<String>::new());
}
