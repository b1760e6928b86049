//! When the platform is asked for the configuration and for balancers' addresses.

use std::{cell::RefCell, net::SocketAddrV4, time::Duration};

use cassiacross::{
    balancer_loop::Event,
    clock::Millis,
    platform::{Consistency, Error},
    platform_sync::{self, PlatformClient, Polling, Snapshot},
};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use yare::parameterized;

/// A platform that notes each call.
#[derive(Default)]
struct Platform {
    is_down: bool,
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
        let snapshot = Snapshot {
            revision: 7,
            config: None,
        };
        self.answer("read".to_owned(), snapshot)
    }

    async fn watch_config(&self, after: u64, limit: Millis) -> Result<Snapshot, Error> {
        time::sleep(limit.to_duration()).await;
        let snapshot = Snapshot {
            revision: after + 1,
            config: None,
        };
        self.answer(format!("wait {after}"), snapshot)
    }

    async fn register_balancer(&self, _: &str, _: SocketAddrV4) -> Result<(), Error> {
        self.answer("register".to_owned(), ())
    }

    async fn read_peers(&self, consistency: Consistency) -> Result<Vec<SocketAddrV4>, Error> {
        self.answer(format!("peers {consistency:?}"), Vec::new())
    }
}

const fn duty(config: bool, alone: bool) -> Polling {
    Polling {
        config,
        peers_now: alone,
    }
}

/// Lets time pass while a future runs.
async fn run(future: impl Future<Output = ()>, seconds: u64) {
    let ended = time::timeout(Duration::from_secs(seconds), future).await;
    assert!(ended.is_err(), "goes on");
}

#[tokio::test(start_paused = true)]
async fn who_need_not_follow_makes_no_calls() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel::<Event>(64);
    let (_duty, duties) = watch::channel(duty(false, false));
    run(
        platform_sync::follow_config(&platform, 1, events, duties),
        60,
    )
    .await;
    assert_eq!(platform.count(""), 0);
}

#[tokio::test(start_paused = true)]
async fn who_follows_again_goes_on_from_its_revision() {
    let platform = Platform::default();
    let (events, _inbox) = mpsc::channel::<Event>(64);
    let (sender, duties) = watch::channel(duty(true, false));
    let change = async {
        time::sleep(Duration::from_secs(6)).await;
        platform_sync::set_polling(&sender, duty(false, false));
        time::sleep(Duration::from_mins(1)).await;
        platform_sync::set_polling(&sender, duty(true, false));
        time::sleep(Duration::from_secs(6)).await;
    };
    let both = async {
        tokio::join!(
            platform_sync::follow_config(&platform, 1, events, duties),
            change
        );
    };
    run(both, 72).await;
    assert_eq!(
        *platform.calls.borrow(),
        ["read", "wait 7", "wait 8", "wait 9"]
    );
}

#[parameterized(
    up = { false },
    down = { true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn addresses_are_asked_for_rarely_by_who_hears_of_others(is_down: bool) {
    let platform = Platform {
        is_down,
        ..Platform::default()
    };
    let (events, _inbox) = mpsc::channel(64);
    let (_duty, duties) = watch::channel(duty(true, false));
    let peers = platform_sync::poll_peers(&platform, 1, events, Event::Peers, duties);
    run(peers, 60).await;
    assert_eq!(platform.count("peers Stale"), 4);
    assert_eq!(platform.count("peers Strong"), 0);
}

#[parameterized(
    up = { false },
    down = { true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn addresses_are_asked_for_on_and_on_by_who_hears_of_nobody(is_down: bool) {
    let platform = Platform {
        is_down,
        ..Platform::default()
    };
    let (events, _inbox) = mpsc::channel(1_024);
    let (_duty, duties) = watch::channel(duty(true, true));
    let peers = platform_sync::poll_peers(&platform, 1, events, Event::Peers, duties);
    run(peers, 20).await;
    assert_eq!(platform.count("peers Stale"), 1);
    assert!(platform.count("peers Strong") >= 20);
}
