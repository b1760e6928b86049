//! Measurements of single properties.

mod exchange;
mod packets;

/// Runs the measurement of this name; false if it ran and missed a target.
pub fn run(name: &str, seed: u64, json: bool) -> anyhow::Result<bool> {
    match name {
        "exchange" => exchange::run(seed, json),
        "packets" => packets::run(seed, json),
        _ => anyhow::bail!("no measurement is called {name}"),
    }
}
