//! Transfer of a configuration between nodes in pages.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    config_transfer::{Download, Encoded, PAGE_LEN, Page, Progress, WINDOW},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const VERSION: u64 = 7;

fn node(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Returns the content of a configuration of this many pages, the last one not full.
fn content(pages: usize, fill: u8) -> Vec<u8> {
    let page = |index: u8| [fill.wrapping_add(index); PAGE_LEN];
    let mut content: Vec<u8> = (0..=u8::MAX).take(pages).flat_map(page).collect();
    content.pop();
    content
}

/// Result of a transfer over a network that loses messages at random.
struct Transfer {
    content: Vec<u8>,
    requests: usize,
    pages: usize,
    /// Most pages that were sent and not yet received at a time.
    in_flight: usize,
}

fn transfer(encoded: &Encoded, loss: f64, seed: u64) -> Transfer {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut download = Download::default();
    let (mut requests, mut pages, mut in_flight) = (0, 0, 0);
    let mut now = Millis(0);
    let mut next = None;
    loop {
        now = now + Millis(10);
        let request = next.take().or_else(|| {
            let due = download.is_due(now);
            due.then(|| download.request(node(1), VERSION, now))
        });
        let Some(request) = request else { continue };
        requests += 1;
        if rng.random_bool(loss) {
            continue;
        }
        let sent = encoded.answer(&request, VERSION);
        pages += sent.len();
        in_flight = in_flight.max(sent.len());
        for page in sent {
            if rng.random_bool(loss) {
                continue;
            }
            match download.receive(node(1), page, now) {
                Progress::Complete(content) => {
                    return Transfer {
                        content,
                        requests,
                        pages,
                        in_flight,
                    };
                }
                Progress::Next => next = Some(download.request(node(1), VERSION, now)),
                Progress::Waiting => {}
            }
        }
    }
}

#[parameterized(
    one_page = { 1, 1 },
    a_window = { 8, 1 },
    many_windows = { 70, 9 },
)]
fn transfer_without_loss_sends_each_page_once(len: usize, requests: usize) {
    let content = content(len, 1);
    let transfer = transfer(&Encoded::new(content.clone()), 0.0, 1);
    assert_eq!(transfer.content, content);
    assert_eq!(transfer.pages, len);
    assert_eq!(transfer.requests, requests);
}

/// Pattern: a change adds many routes while the links are full, so pages are lost.
#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn lost_pages_are_sent_again_and_no_others(seed: u64) {
    let content = content(70, 1);
    let transfer = transfer(&Encoded::new(content.clone()), 0.2, seed);
    assert_eq!(transfer.content, content);
    assert!(transfer.in_flight <= WINDOW);
    assert!(transfer.pages <= 70 * 3 / 2, "{} pages", transfer.pages);
}

#[test]
fn too_large_configuration_is_not_sent() {
    let mut download = Download::default();
    let request = download.request(node(1), VERSION, Millis(0));
    let largest = Encoded::new(vec![0; 1_024 * PAGE_LEN]);
    assert_eq!(largest.answer(&request, VERSION).len(), WINDOW);
    let larger = Encoded::new(vec![0; 1_024 * PAGE_LEN + 1]);
    assert!(larger.is_too_large());
    assert_eq!(larger.answer(&request, VERSION), []);
}

#[test]
fn node_with_an_earlier_version_does_not_answer() {
    let mut download = Download::default();
    let request = download.request(node(1), VERSION, Millis(0));
    assert_eq!(Encoded::new(content(3, 1)).answer(&request, 6), []);
}

#[test]
fn node_with_a_later_version_answers_with_its_first_pages() {
    let mut download = Download::default();
    let request = download.request(node(1), VERSION, Millis(0));
    let later = Encoded::new(content(3, 9));
    let pages = later.answer(&request, 8);
    let mut last = Progress::Waiting;
    for page in pages {
        last = download.receive(node(1), page, Millis(1));
    }
    assert_eq!(last, Progress::Complete(content(3, 9)));
}

/// The encodings of one version differ between nodes that know other former services.
#[test]
fn pages_of_two_encodings_are_not_mixed() {
    let (first, second) = (content(12, 1), content(12, 100));
    let (a, b) = (Encoded::new(first), Encoded::new(second.clone()));
    let mut download = Download::default();
    let request = download.request(node(1), VERSION, Millis(0));
    let late = a.answer(&request, VERSION);
    for page in late.iter().skip(2).cloned() {
        download.receive(node(1), page, Millis(1));
    }
    let mut request = download.request(node(2), VERSION, Millis(600));
    for now in 601..610 {
        for page in b.answer(&request, VERSION) {
            match download.receive(node(2), page, Millis(now)) {
                Progress::Complete(content) => {
                    assert_eq!(content, second);
                    return;
                }
                Progress::Next => request = download.request(node(2), VERSION, Millis(now)),
                Progress::Waiting => {}
            }
            download.receive(node(1), late[0].clone(), Millis(now));
        }
    }
    panic!("the transfer does not end");
}

#[test]
fn request_is_repeated_only_after_its_timeout() {
    let mut download = Download::default();
    assert!(download.is_due(Millis(0)));
    let request = download.request(node(1), VERSION, Millis(0));
    assert!(!download.is_due(Millis(499)));
    let page = Encoded::new(content(9, 1)).answer(&request, VERSION)[0].clone();
    download.receive(node(1), page, Millis(400));
    assert!(!download.is_due(Millis(899)));
    assert!(download.is_due(Millis(900)));
    assert!(!download.is_stalled());
}

#[parameterized(
    index_past_the_end = { 5, 2 },
    too_many_pages = { 0, u16::MAX },
    no_pages = { 0, 0 },
)]
fn invalid_page_is_ignored(index: u16, total: u16) {
    let mut download = Download::default();
    download.request(node(1), VERSION, Millis(0));
    let page = Page {
        version: VERSION,
        digest: 1,
        index,
        total,
        bytes: vec![0; 10],
    };
    assert_eq!(
        download.receive(node(1), page, Millis(1)),
        Progress::Waiting
    );
}
