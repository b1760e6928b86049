//! Runs one stand-in: `standin NAME [FLAGS]`.

use std::{env, ffi::OsString, process::ExitCode};

mod upstream;

fn main() -> ExitCode {
    env_logger::init();
    let mut args = env::args_os().skip(1);
    let name = args.next().unwrap_or_default();
    match run(&name.to_string_lossy(), args.collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(name: &str, args: Vec<OsString>) -> anyhow::Result<()> {
    match name {
        "upstream" => upstream::run(args),
        other => anyhow::bail!("no stand-in is named {other:?}"),
    }
}
