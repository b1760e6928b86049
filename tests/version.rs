//! Versions and help of the binaries.

use std::process::Command;

use yare::parameterized;

#[parameterized(
    tool = { env!("CARGO_BIN_EXE_cassiacross"), "cassiacross" },
    balancer = { env!("CARGO_BIN_EXE_cassiacross-balancer"), "cassiacross-balancer" },
    agent = { env!("CARGO_BIN_EXE_cassiacross-agent"), "cassiacross-agent" },
)]
fn binary_tells(program: &str, name: &str) {
    let run = |flag| Command::new(program).arg(flag).output().expect("it starts");
    let version = run("--version");
    assert!(version.status.success());
    let expected = format!("{name} {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&version.stdout), expected);
    let help = run("--help");
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains(name));
}
