//! Measures the control traffic, processor time and memory of balancers for several fleet sizes.
//!
//! Runs the state machines of all balancers in one process, over a simulated network without delay
//! or loss. Routing tables are not built here; the measurement `packets` covers them.

mod cases;
mod entries;
mod fleet;
mod row;
mod usage;

use cassiacross::clock;

use self::{fleet::Fleet, row::Row};

/// Heartbeat period.
const PERIOD: clock::Millis = clock::Millis(3_000);
/// Numbers of balancers to measure by default.
const SIZES: [usize; 4] = [40, 80, 160, 680];
/// Number of balancers of the fleet size that the design is made for.
const DESIGN_BALANCERS: usize = 680;
/// Number of agents at [`DESIGN_BALANCERS`]; smaller fleets have proportionally fewer.
const DESIGN_AGENTS: usize = 4_200;
/// Number of records at [`DESIGN_BALANCERS`]; smaller fleets have proportionally fewer.
const DESIGN_RECORDS: usize = 1_800;
const DOMAIN_COUNT: usize = 8;
/// Heartbeat periods before the first case.
const WARM_UP_PERIODS: u64 = 12;

/// Measures all fleet sizes; returns false if a case of normal operation exceeds a limit.
pub fn run(seed: u64, json: bool) -> anyhow::Result<bool> {
    let sizes = std::env::var("MEASURE_SIZES").ok();
    let sizes: Vec<usize> = match &sizes {
        Some(list) => list.split(',').map(str::parse).collect::<Result<_, _>>()?,
        None => SIZES.to_vec(),
    };
    let mut rows = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        measure(size, seed, &mut rows, &mut memory);
    }
    let met = rows.iter().all(Row::is_met);
    if json {
        let value = serde_json::json!({
            "measure": "exchange", "seed": seed, "period_ms": PERIOD.0, "rows": rows,
            "memory_bytes": memory, "met": met,
            "target": { "bytes": row::MAX_BYTES_PER_SECOND, "core": row::MAX_CORE_SHARE,
                "change_ms": row::MAX_SPREAD_TIME.0 },
        });
        println!("{value}");
    }
    Ok(met)
}

/// Measures all cases for one fleet size, and the memory per balancer.
fn measure(size: usize, seed: u64, rows: &mut Vec<Row>, memory: &mut Vec<(usize, usize)>) {
    let before = resident_bytes();
    let mut fleet = Fleet::new(size, seed);
    fleet.fill_tables();
    fleet.run(WARM_UP_PERIODS);
    memory.push((size, resident_bytes().saturating_sub(before) / size));
    println!(
        "{size} balancers: {} B resident memory per balancer",
        memory[memory.len() - 1].1
    );
    rows.push(fleet.run_case("quiet", 3, |_| {}));
    rows.push(fleet.run_change());
    fleet.run(6);
    rows.push(fleet.run_case("rolling restarts", 42, Fleet::restart_balancer));
    fleet.run(12);
    rows.push(fleet.run_case("three agents dead", 8, |fleet| fleet.silent[..3].fill(true)));
    fleet.run(4);
    rows.push(fleet.run_case("domain lost", 24, Fleet::stop_domain));
    drop(fleet);
    if size < DESIGN_BALANCERS {
        let mut fleet = Fleet::new(size, seed);
        fleet.sync_with_first();
        rows.push(fleet.run_case("cold start", 18, |_| {}));
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}
