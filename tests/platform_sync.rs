//! When the configuration and the balancers' addresses are read from the platform.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use cassiacross::{
    balancer_loop::Event,
    clock::Millis,
    ident::DomainId,
    platform::{Consistency, Error, Position},
    platform_sync::{self, Changes, PlatformClient, Snapshot},
    polling::{self, Addresses, Polling},
};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use yare::parameterized;

/// Platform client that records each call.
#[derive(Default)]
struct Platform {
    is_down: bool,
    era: watch::Sender<Option<u64>>,
    calls: RefCell<Vec<String>>,
}

impl Platform {
    fn answer<T>(&self, call: String, answer: T) -> Result<T, Error> {
        self.calls.borrow_mut().push(call);
        if self.is_down {
            return Err(Error::Busy(503));
        }
        Ok(answer)
    }

    fn count(&self, call: &str) -> usize {
        let calls = self.calls.borrow();
        calls.iter().filter(|other| other.starts_with(call)).count()
    }
}

impl PlatformClient for Platform {
    async fn read_config(&self) -> Result<Snapshot, Error> {
        let snapshot = unchanged(7);
        self.answer("read".to_owned(), snapshot)
    }

    async fn watch_config(&self, after: Position, limit: Millis) -> Result<Snapshot, Error> {
        time::sleep(limit.to_duration()).await;
        let call = if limit == Millis(0) { "check" } else { "wait" };
        let call = format!("{call} {}", after.revision);
        self.answer(call, unchanged(after.revision + 1))
    }

    async fn read_evacuations(&self) -> Result<Changes, Error> {
        self.answer("evacuations".to_owned(), requested(7, true))
    }

    async fn watch_evacuations(&self, after: Position, limit: Millis) -> Result<Changes, Error> {
        time::sleep(limit.to_duration()).await;
        let call = format!("evacuations after {}", after.revision);
        self.answer(call, requested(after.revision + 1, false))
    }

    fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    async fn register_balancer(&self, _: &str, _: SocketAddrV4) -> Result<(), Error> {
        self.answer("register".to_owned(), ())
    }

    async fn read_peers(&self, consistency: Consistency) -> Result<Vec<SocketAddrV4>, Error> {
        self.answer(format!("peers {consistency:?}"), Vec::new())
    }
}

/// Returns the request or withdrawal of one evacuation.
fn requested(revision: u64, requested: bool) -> Changes {
    Changes {
        position: Position { era: 0, revision },
        domains: vec![(DomainId(2), requested)],
    }
}

/// Returns a response without a change of the configuration.
const fn unchanged(revision: u64) -> Snapshot {
    Snapshot {
        position: Position { era: 0, revision },
        config: None,
    }
}

const fn polling(config: bool, addresses: Addresses) -> Polling {
    Polling { config, addresses }
}

/// Runs a future for some seconds and fails if it ends before.
async fn run(future: impl Future<Output = ()>, seconds: u64) {
    let result = time::timeout(Duration::from_secs(seconds), future).await;
    assert!(result.is_err(), "future ended before the time limit");
}

#[tokio::test(start_paused = true)]
async fn process_that_is_not_a_watcher_makes_no_calls() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel::<Event>(64);
    let (_sender, receiver) = watch::channel(polling(false, Addresses::Idle));
    run(
        platform_sync::follow_config(&platform, 1, events, receiver),
        60,
    )
    .await;
    assert_eq!(platform.count(""), 0);
}

/// A balancer that starts reads the configuration, and learns from its peers that others
/// watch it.
#[tokio::test(start_paused = true)]
async fn new_process_does_not_watch_before_it_knows_its_peers() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel::<Event>(64);
    let (sender, receiver) = watch::channel(polling(true, Addresses::Now));
    let change = async {
        time::sleep(Duration::from_millis(300)).await;
        polling::set(&sender, polling(false, Addresses::Idle));
        time::sleep(Duration::from_mins(1)).await;
    };
    let both = async {
        tokio::join!(
            platform_sync::follow_config(&platform, 1, events, receiver),
            change
        );
    };
    run(both, 60).await;
    assert_eq!(*platform.calls.borrow(), ["read"]);
}

/// A watcher that resumes first checks, without a wait, that its revision is still valid:
/// guards against one that learns only after its watch that the platform was restored.
#[tokio::test(start_paused = true)]
async fn watcher_resumes_from_its_last_revision() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel::<Event>(64);
    let (sender, receiver) = watch::channel(polling(true, Addresses::Periodic));
    let change = async {
        time::sleep(Duration::from_secs(6)).await;
        polling::set(&sender, polling(false, Addresses::Idle));
        time::sleep(Duration::from_mins(1)).await;
        polling::set(&sender, polling(true, Addresses::Periodic));
        time::sleep(Duration::from_secs(6)).await;
    };
    let both = async {
        tokio::join!(
            platform_sync::follow_config(&platform, 1, events, receiver),
            change
        );
    };
    run(both, 72).await;
    assert_eq!(
        *platform.calls.borrow(),
        ["read", "check 7", "wait 8", "wait 9", "check 10", "wait 11"]
    );
}

/// Guards against calls that repeat a registration which the platform still has.
#[tokio::test(start_paused = true)]
async fn balancer_registers_once_for_each_era_of_the_platform() {
    let platform = Platform::default();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_100);
    let registration = platform_sync::register_balancer(&platform, 1, "machine-1", address);
    let changes = async {
        for era in 1..=2 {
            time::sleep(Duration::from_mins(1)).await;
            assert_eq!(platform.count("register"), era);
            platform
                .era
                .send_replace(Some(u64::try_from(era).expect("era is small")));
        }
        time::sleep(Duration::from_mins(1)).await;
    };
    let both = async {
        tokio::join!(registration, changes);
    };
    run(both, 170).await;
    assert_eq!(platform.count("register"), 3);
}

#[parameterized(
    up = { false },
    down = { true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn watcher_with_contacts_reads_addresses_rarely(is_down: bool) {
    let platform = Platform {
        is_down,
        ..Platform::default()
    };
    let (events, _inbox) = mpsc::channel(64);
    let (_sender, receiver) = watch::channel(polling(true, Addresses::Periodic));
    let poll = platform_sync::poll_peers(&platform, 1, events, Event::Peers, receiver);
    run(poll, 60).await;
    assert_eq!(platform.count("peers Stale"), 4);
    assert_eq!(platform.count("peers Strong"), 0);
}

/// The number of calls does not grow with the nodes of a failure domain.
#[tokio::test(start_paused = true)]
async fn node_that_is_not_a_watcher_reads_addresses_once_until_it_lacks_contacts() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel(64);
    let (sender, receiver) = watch::channel(polling(false, Addresses::Idle));
    let change = async {
        time::sleep(Duration::from_mins(1)).await;
        assert_eq!(*platform.calls.borrow(), ["peers Stale"]);
        polling::set(&sender, polling(false, Addresses::Now));
        time::sleep(Duration::from_secs(1)).await;
        polling::set(&sender, polling(false, Addresses::Idle));
        time::sleep(Duration::from_mins(1)).await;
    };
    let poll = platform_sync::poll_peers(&platform, 1, events, Event::Peers, receiver);
    let both = async {
        tokio::join!(poll, change);
    };
    run(both, 122).await;
    assert!((2..=4).contains(&platform.count("peers")));
}

#[parameterized(
    up = { false },
    down = { true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn node_without_contacts_keeps_reading_addresses(is_down: bool) {
    let platform = Platform {
        is_down,
        ..Platform::default()
    };
    let (events, _inbox) = mpsc::channel(1_024);
    let (_sender, receiver) = watch::channel(polling(true, Addresses::Now));
    let poll = platform_sync::poll_peers(&platform, 1, events, Event::Peers, receiver);
    run(poll, 20).await;
    assert_eq!(platform.count("peers Stale"), 1);
    assert!(platform.count("peers Strong") >= 20);
}

// Guards against an evacuation that stays in force after it was withdrawn.
#[tokio::test(start_paused = true)]
async fn evacuations_are_read_once_and_then_watched() {
    let platform = Platform::default();
    let (_sender, polling) = watch::channel(polling(true, Addresses::Idle));
    let (events, mut received) = mpsc::channel(16);
    let follow = platform_sync::follow_evacuations(&platform, 1, events, polling);
    let receive = async {
        let mut domains = Vec::new();
        while let Some(Event::Evacuations(read)) = received.recv().await {
            domains.push(read.domains.len());
            if domains.len() == 2 {
                break;
            }
        }
        domains
    };
    let domains = tokio::select! {
        () = follow => Vec::new(),
        domains = receive => domains,
    };
    assert_eq!(domains, [1, 0]);
    assert_eq!(platform.count("evacuations after 7"), 1);
}
