//! Runs one case of the review against the project's programs, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run.

mod backend;
mod fleet;
mod http;
mod json;
mod packet;
mod record;
mod requester;
mod scenarios;
mod store;

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    process::ExitCode,
};

/// Address of the only route. It stands in packets only; nothing is sent to it.
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 198, 18, 1), 8_443);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let args: [_; 4] = std::array::from_fn(|_| args.next());
    let [Some(name), Some(trouble), Some(program), Some(record)] = args else {
        eprintln!("usage: review-stand-ins-2 SCENARIO trouble|calm PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = trouble != "calm";
    let verdict = record::Record::create(&PathBuf::from(record))
        .map_err(|error| format!("cannot write the record: {error}"))
        .and_then(|record| {
            let run = || scenarios::run(&name, PathBuf::from(program), trouble, &record);
            let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
            run.unwrap_or_else(|_| Err("a stand-in failed".to_owned()))
        });
    match verdict {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("the rule was broken {} times", broken.len());
            for line in broken.iter().take(10) {
                println!("  {line}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
