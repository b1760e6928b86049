//! Changes and watches against the platform stand-in with its faults.

use std::{convert::Infallible, net::SocketAddrV4, time::Duration};

use cassiacross::{backoff, change, clock, ident, member, platform, record_table, store_watch};
use serde_json::{Value, json};
use tokio::{net, time};
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(30);

struct Fixture {
    base: String,
    client: platform::Client,
}

impl Fixture {
    async fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let base = format!("http://{}", listener.local_addr().expect("address"));
        tokio::spawn(platform_standins::store::serve(listener));
        let client =
            platform::Client::new(&base, change::CALL_TIMEOUT.to_duration()).expect("client");
        Self { base, client }
    }

    async fn faults(&self, faults: Value) {
        let call = reqwest::Client::new().post(format!("{}/faults", self.base));
        let answer = call.json(&faults).send().await.expect("answer");
        assert!(answer.status().is_success());
    }

    async fn change(
        &self,
        id: &str,
        precondition: change::Precondition,
        port: u64,
    ) -> change::Outcome {
        self.try_change(id, precondition, port)
            .await
            .expect("platform is there")
    }

    async fn try_change(
        &self,
        id: &str,
        precondition: change::Precondition,
        port: u64,
    ) -> Result<change::Outcome, change::Error<Infallible>> {
        let request = change::Request {
            name: "ledger",
            id,
            precondition,
        };
        let backoff = backoff::Backoff::new(port, change::MAX_RETRIES);
        change::commit(&self.client, &request, |_| Ok(document(port)), backoff).await
    }

    async fn stored(&self) -> platform::Object {
        let object = self.client.get(change::RECORD_KIND, "ledger").await;
        object.expect("platform is there").expect("record is there")
    }

    fn watch(&self, relist: clock::Millis) -> store_watch::Watcher {
        store_watch::Watcher::new(self.client.clone(), change::RECORD_KIND, relist, 1)
    }
}

fn document(port: u64) -> Value {
    json!({"schema": 2, "address": format!("10.9.0.1:{port}")})
}

fn object(version: u64, ids: &[&str]) -> platform::Object {
    platform::Object {
        name: String::new(),
        version,
        value: json!({"changes": ids, "record": document(version)}),
        deleting: false,
    }
}

async fn until_in_force(
    watch: &mut store_watch::Watcher,
    table: &mut record_table::Table,
    version: u64,
) {
    let follow = async {
        while table.active_version("ledger") < version {
            for item in watch.next().await {
                table.apply(&item.name, item.version, change::record(&item.value));
            }
        }
    };
    time::timeout(LIMIT, follow).await.expect("change arrives");
}

#[parameterized(
    found = { 3, Some("a"), Some((9, &["a", "x"])), change::LostWriteOutcome::Accepted(9) },
    unchanged = { 3, Some("a"), Some((3, &["a"])), change::LostWriteOutcome::NotApplied },
    other = { 3, Some("a"), Some((4, &["a", "b"])), change::LostWriteOutcome::Conflict(4) },
    forgotten = { 3, Some("a"), Some((9, &["b", "c"])), change::LostWriteOutcome::Undecided },
    absent = { 0, None, None, change::LostWriteOutcome::NotApplied },
    created = { 0, None, Some((4, &["b"])), change::LostWriteOutcome::Conflict(4) },
    untracked = { 0, None, Some((4, &[])), change::LostWriteOutcome::Undecided },
    removed = { 3, Some("a"), None, change::LostWriteOutcome::Undecided },
)]
fn lost_answer_is_judged(
    guard: u64,
    last: Option<&str>,
    now: Option<(u64, &[&str])>,
    expected: change::LostWriteOutcome,
) {
    let guard = match guard {
        0 => platform::Precondition::Absent,
        version => platform::Precondition::Version(version),
    };
    let attempt = change::Attempt {
        precondition: guard,
        last_id: last.map(str::to_owned),
    };
    let object = now.map(|(version, ids)| object(version, ids));
    assert_eq!(
        change::resolve_lost_write(&attempt, "x", object.as_ref()),
        expected
    );
}

#[test]
fn last_changes_and_other_fields_are_kept() {
    let mut value = json!({"owner": "depot"});
    for index in 0..40 {
        value = change::stored_object(Some(&value), &format!("c{index}"), document(80));
    }
    let ids: Vec<_> = change::ids(&value).collect();
    assert_eq!(ids.len(), change::MAX_CHANGE_IDS);
    assert_eq!(ids.last(), Some(&"c39"));
    assert_eq!(value["owner"], "depot");
}

#[parameterized(
    whole = { "ledger~0a", Some("ledger") },
    no_name = { "~0a", None },
    no_text = { "ledger~", None },
    plain = { "ledger", None },
    slash = { "ledger~a/b", None },
)]
fn change_id_names_its_record(id: &str, expected: Option<&str>) {
    assert_eq!(change::record_name(id), expected);
}

#[parameterized(
    one = { 1 },
    several = { 3 },
)]
#[test_macro(tokio::test)]
async fn lost_answers_end_as_accepted_once(lost: u64) {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"lose_answers": lost})).await;
    let outcome = fixture
        .change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert_eq!(outcome, change::Outcome::Accepted(1));
    assert_eq!(fixture.stored().await.version, 1);
    let again = fixture
        .change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert_eq!(again, change::Outcome::Accepted(1));
    assert_eq!(fixture.stored().await.version, 1);
}

#[parameterized(
    repeated_meanwhile = { 1, 1 },
    overtaken = { 2, 2 },
)]
#[test_macro(tokio::test)]
async fn late_writes_take_effect_once(late: u64, operators: u64) {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"late_writes": late})).await;
    let ids: Vec<_> = (0..operators)
        .map(|index| format!("ledger~{index}"))
        .collect();
    let changes = ids
        .iter()
        .map(|id| fixture.change(id, change::Precondition::Any, 80));
    for outcome in futures_util::future::join_all(changes).await {
        assert!(
            matches!(outcome, change::Outcome::Accepted(_)),
            "{outcome:?}"
        );
    }
    time::sleep(2 * platform_standins::store::LATE_WRITE_DELAY).await;
    let stored = fixture.stored().await;
    let mut kept: Vec<_> = change::ids(&stored.value).collect();
    kept.sort_unstable();
    assert_eq!(kept, ids);
    assert_eq!(stored.version, operators);
}

#[tokio::test]
async fn platform_too_slow_is_said_as_not_written() {
    let fixture = Fixture::start().await;
    let slow = change::CALL_TIMEOUT.0 * 2;
    fixture.faults(json!({"slow_ms": slow})).await;
    let request = change::Request {
        name: "ledger",
        id: "ledger~1",
        precondition: change::Precondition::Any,
    };
    let edit = |_: Option<&Value>| Ok::<_, Infallible>(document(80));
    let outcome =
        change::commit(&fixture.client, &request, edit, backoff::Backoff::new(1, 1)).await;
    assert!(
        matches!(outcome, Err(change::Error::Unavailable(_))),
        "{outcome:?}"
    );
    fixture.faults(json!({"slow_ms": 0})).await;
    let asked = change::query_outcome(&fixture.client, "ledger", "ledger~1").await;
    assert_eq!(
        asked.expect("platform is there"),
        change::Outcome::Undecided
    );
}

#[tokio::test]
async fn outage_before_a_write_is_said_as_not_written() {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"down": true})).await;
    let outcome = fixture
        .try_change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert!(
        matches!(outcome, Err(change::Error::Unavailable(_))),
        "{outcome:?}"
    );
    fixture.faults(json!({"down": false})).await;
    let asked = change::query_outcome(&fixture.client, "ledger", "ledger~1").await;
    assert_eq!(
        asked.expect("platform is there"),
        change::Outcome::Undecided
    );
}

#[tokio::test]
async fn outage_after_a_write_is_undecided_until_asked() {
    let fixture = Fixture::start().await;
    fixture
        .faults(json!({"lose_answers": 1, "down_after_loss": true}))
        .await;
    let outcome = fixture
        .change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert_eq!(outcome, change::Outcome::Undecided);
    fixture.faults(json!({"down": false})).await;
    let asked = change::query_outcome(&fixture.client, "ledger", "ledger~1").await;
    assert_eq!(
        asked.expect("platform is there"),
        change::Outcome::Accepted(1)
    );
    let again = fixture
        .change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert_eq!(again, change::Outcome::Accepted(1));
}

#[tokio::test]
async fn write_turned_away_is_tried_again() {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"refuse_writes": 2})).await;
    let outcome = fixture
        .change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert_eq!(outcome, change::Outcome::Accepted(1));
}

#[tokio::test]
async fn writes_always_turned_away_are_said_as_not_written() {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"refuse_writes": 100})).await;
    let outcome = fixture
        .try_change("ledger~1", change::Precondition::Absent, 80)
        .await;
    assert!(
        matches!(outcome, Err(change::Error::Unavailable(_))),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn racing_operators_have_one_winner() {
    let fixture = Fixture::start().await;
    fixture
        .change("ledger~0", change::Precondition::Absent, 80)
        .await;
    let precondition = change::Precondition::Version(1);
    let (a, b) = tokio::join!(
        fixture.change("ledger~a", precondition, 81),
        fixture.change("ledger~b", precondition, 82),
    );
    let mut outcomes = [a, b];
    outcomes.sort_by_key(|outcome| matches!(outcome, change::Outcome::Conflict(_)));
    assert_eq!(
        outcomes,
        [change::Outcome::Accepted(2), change::Outcome::Conflict(2)]
    );
    assert_eq!(fixture.stored().await.version, 2);
}

#[tokio::test]
async fn forced_changes_all_take_effect() {
    let fixture = Fixture::start().await;
    fixture.faults(json!({"lose_answers": 2})).await;
    let (a, b, c) = tokio::join!(
        fixture.change("ledger~a", change::Precondition::Any, 81),
        fixture.change("ledger~b", change::Precondition::Any, 82),
        fixture.change("ledger~c", change::Precondition::Any, 83),
    );
    for outcome in [a, b, c] {
        assert!(
            matches!(outcome, change::Outcome::Accepted(_)),
            "{outcome:?}"
        );
    }
    let stored = fixture.stored().await;
    let mut ids: Vec<_> = change::ids(&stored.value).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["ledger~a", "ledger~b", "ledger~c"]);
    assert_eq!(stored.version, 3);
}

#[parameterized(
    plain = { json!({}) },
    reordered = { json!({"reorder_watch": true}) },
    missed = { json!({"miss_watch": 2}) },
)]
#[test_macro(tokio::test)]
async fn watch_ends_at_the_last_version(faults: Value) {
    let fixture = Fixture::start().await;
    fixture.faults(faults).await;
    let mut watch = fixture.watch(clock::Millis(500));
    let mut table = record_table::Table::default();
    for version in 1..=6 {
        let id = format!("ledger~{version}");
        fixture
            .change(&id, change::Precondition::Any, 80 + version)
            .await;
        if version % 2 == 0 {
            until_in_force(&mut watch, &mut table, version).await;
        }
    }
    assert_eq!(
        table.service("ledger").expect("in force").address.port(),
        86
    );
}

#[tokio::test]
async fn empty_list_is_given_before_a_watch() {
    let fixture = Fixture::start().await;
    let mut watch = fixture.watch(store_watch::RELIST_INTERVAL);
    assert_eq!(watch.next().await, []);
    assert!(watch.has_listed());
    let calls = reqwest::get(format!("{}/calls", fixture.base)).await;
    let calls = calls.expect("answer").json::<Value>().await;
    let calls = calls.expect("counts");
    assert_eq!((&calls["list"], &calls["watch"]), (&json!(1), &json!(0)));
}

#[tokio::test]
async fn watch_lists_everything_after_an_outage() {
    let fixture = Fixture::start().await;
    let mut watch = fixture.watch(store_watch::RELIST_INTERVAL);
    let mut table = record_table::Table::default();
    fixture
        .change("ledger~1", change::Precondition::Any, 81)
        .await;
    until_in_force(&mut watch, &mut table, 1).await;
    fixture.faults(json!({"down": true})).await;
    let waited = time::timeout(Duration::from_millis(300), watch.next()).await;
    assert!(waited.is_err(), "no change during the outage");
    fixture.faults(json!({"down": false})).await;
    fixture
        .change("ledger~2", change::Precondition::Any, 82)
        .await;
    until_in_force(&mut watch, &mut table, 2).await;
}

fn balancer(index: u16, domain: &str) -> member::Balancer {
    let name = format!("balancer-{index}");
    let address = SocketAddrV4::new([127, 0, 0, 1].into(), index);
    member::Balancer {
        node: ident::NodeId::of(&name),
        incarnation: ident::Incarnation(1),
        name,
        domain: domain.to_owned(),
        control: address,
        http: address,
        leaving: index == 0,
    }
}

#[parameterized(
    one = { 1, 1 },
    two = { 2, 2 },
    many = { 40, 2 },
)]
fn watchers_in_each_domain(live: u16, expected: usize) {
    let domains = ["valley-a", "valley-b", "valley-c"];
    let balancers: Vec<_> = domains
        .iter()
        .zip([100, 200, 300])
        .flat_map(|(domain, first)| (first..first + live).map(|i| balancer(i, domain)))
        .chain([balancer(0, "valley-a")])
        .collect();
    let watchers = balancers
        .iter()
        .filter(|own| store_watch::is_watcher(&balancers, own.node));
    assert_eq!(watchers.clone().count(), expected * domains.len());
    assert!(watchers.clone().all(|own| !own.leaving));
    assert!(!store_watch::is_watcher(
        &balancers,
        ident::NodeId::of("unknown")
    ));
}
