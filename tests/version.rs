//! The `--version` and `--help` output of the binaries.

use std::process::Command;

use yare::parameterized;

#[parameterized(
    command_line_tool = { env!("CARGO_BIN_EXE_cassiacross"), "cassiacross" },
    balancer = { env!("CARGO_BIN_EXE_cassiacross-balancer"), "cassiacross-balancer" },
    agent = { env!("CARGO_BIN_EXE_cassiacross-agent"), "cassiacross-agent" },
)]
fn version_and_help(program: &str, name: &str) {
    let run = |flag| {
        Command::new(program)
            .arg(flag)
            .output()
            .expect("the binary does not start")
    };
    let version = run("--version");
    assert!(version.status.success());
    let expected = format!("{name} {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&version.stdout), expected);
    let help = run("--help");
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains(name));
}
