//! Changes of records: conditional writes whose outcome can be asked for.
//!
//! The stored object is `{"changes": [..], "record": ..}` with the ids of the
//! last changes, newest last. A change whose answer was lost is decided by
//! reading the object back: its id is there, or the object has moved on
//! without it, or it is still as it was and the same write is repeated under
//! the same guard, so that it takes effect at most once.

use serde_json::{Map, Value};
use thiserror::Error;

use crate::{backoff, clock, platform, record};

/// Kind of the objects that hold records.
pub const RECORD_KIND: &str = "cassiacross-records";

/// Limit of one call to the platform, on top of the time that a watch waits.
pub const CALL_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// Change ids that an object keeps.
pub const MAX_CHANGE_IDS: usize = 16;

/// Retries of one change.
pub const MAX_RETRIES: u32 = 5;

const MAX_ID_LEN: usize = 128;
const SEPARATOR: char = '~';
const CHANGES: &str = "changes";
const RECORD: &str = "record";

/// What a change requires of the record before it.
///
/// Once `Absent` or a version no longer fits, it never will again: objects are
/// not removed. So a conflict told by one balancer holds for all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// Nothing: the change is tried again on top of others.
    Any,
    /// There never was such a record; a deleted one has a version.
    Absent,
    /// The record has this version.
    Version(u64),
}

/// A change as it is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The record's name.
    pub name: &'a str,
    /// The change's id, chosen by the caller, see [`record_name`].
    pub id: &'a str,
    /// What it requires.
    pub precondition: Precondition,
}

/// What came of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write is confirmed; the record has this version or a later one.
    Accepted(u64),
    /// Nothing was written; the record has this version, 0 for none.
    Conflict(u64),
    /// Nobody can say yet; ask again with the id.
    Undecided,
}

/// Why a change was not tried, or certainly not made.
#[derive(Debug, Error)]
pub enum Error<E: std::error::Error + 'static> {
    /// The platform could not be read; nothing was written.
    #[error("the platform is not available, nothing was written: {0}")]
    Unavailable(#[source] platform::Error),
    /// The edit refuses the record as it is.
    #[error(transparent)]
    Edit(E),
}

/// A write that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The state that it required.
    pub guard: platform::Precondition,
    /// The newest change id in that state.
    pub last_id: Option<String>,
}

/// What to do next for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It has been made.
    Done(u64),
    /// It cannot be made.
    Conflict(u64),
    /// Send this write.
    Write(Attempt),
}

/// What reading an object back says of a lost write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostWriteOutcome {
    /// It took effect.
    Accepted(u64),
    /// It did not and never will.
    Conflict(u64),
    /// It has not yet; the same write may be sent again.
    NotApplied,
    /// The object no longer tells.
    Undecided,
}

/// The record within a stored object; null where there is none.
#[must_use]
pub fn record(value: &Value) -> &Value {
    value.get(RECORD).unwrap_or(&Value::Null)
}

/// The change ids within a stored object, newest last.
pub fn ids(value: &Value) -> impl DoubleEndedIterator<Item = &str> {
    let ids = value.get(CHANGES).and_then(Value::as_array);
    ids.into_iter().flatten().filter_map(Value::as_str)
}

/// The stored object with a new record and one more change id; other fields stay.
#[must_use]
pub fn stored_object(before: Option<&Value>, id: &str, record: Value) -> Value {
    let mut fields = before.and_then(Value::as_object).cloned();
    let mut kept: Vec<_> = before.into_iter().flat_map(ids).map(Value::from).collect();
    kept.push(Value::from(id));
    kept.drain(..kept.len().saturating_sub(MAX_CHANGE_IDS));
    let fields = fields.get_or_insert_with(Map::new);
    fields.insert(CHANGES.to_owned(), Value::from(kept));
    fields.insert(RECORD.to_owned(), record);
    Value::Object(std::mem::take(fields))
}

/// Makes a change id for a record from random bits: `NAME~BITS`.
#[must_use]
pub fn new_id(name: &str, random: u64) -> String {
    format!("{name}{SEPARATOR}{random:016x}")
}

/// The record's name within a change id `NAME~TEXT`, if it is one.
#[must_use]
pub fn record_name(id: &str) -> Option<&str> {
    let (name, rest) = id.split_once(SEPARATOR)?;
    let plain = record::is_valid_name(rest) && id.len() <= MAX_ID_LEN;
    (plain && record::is_valid_name(name)).then_some(name)
}

/// Decides what to do for a change in view of the object as it is.
#[must_use]
pub fn plan(object: Option<&platform::Object>, request: &Request<'_>) -> Step {
    let version = object.map_or(0, |object| object.version);
    if contains(object, request.id) {
        return Step::Done(version);
    }
    let fits = match request.precondition {
        Precondition::Any => true,
        Precondition::Absent => object.is_none(),
        Precondition::Version(expected) => expected == version,
    };
    if !fits {
        return Step::Conflict(version);
    }
    Step::Write(Attempt {
        guard: platform::Object::precondition(object),
        last_id: object.and_then(last).map(str::to_owned),
    })
}

/// Decides about a write without an answer in view of the object read back.
#[must_use]
pub fn resolve_lost_write(
    attempt: &Attempt,
    id: &str,
    object: Option<&platform::Object>,
) -> LostWriteOutcome {
    let version = object.map_or(0, |object| object.version);
    if contains(object, id) {
        return LostWriteOutcome::Accepted(version);
    }
    if platform::Object::precondition(object) == attempt.guard {
        return LostWriteOutcome::NotApplied;
    }
    let known = match &attempt.last_id {
        Some(last) => contains(object, last),
        None => is_complete(attempt.guard, object),
    };
    if known {
        LostWriteOutcome::Conflict(version)
    } else {
        LostWriteOutcome::Undecided
    }
}

/// Makes a change: `edit` turns the record before it into the one after it.
pub async fn commit<E: std::error::Error + 'static>(
    client: &platform::Client,
    request: &Request<'_>,
    edit: impl Fn(Option<&Value>) -> Result<Value, E>,
    mut backoff: backoff::Backoff,
) -> Result<Outcome, Error<E>> {
    let mut lost: Option<Attempt> = None;
    loop {
        let round = round(client, request, &edit, &mut lost).await?;
        if let Round::End(outcome) = round {
            return Ok(outcome);
        }
        let Some(wait) = backoff.next_delay() else {
            return exhausted(round, lost.is_some());
        };
        tokio::time::sleep(wait.to_duration()).await;
    }
}

/// Asks whether a change has taken effect; [`Outcome::Undecided`] where its id is not kept.
pub async fn query_outcome(
    client: &platform::Client,
    name: &str,
    id: &str,
) -> Result<Outcome, platform::Error> {
    let object = client.get(RECORD_KIND, name).await?;
    Ok(match object {
        Some(object) if contains(Some(&object), id) => Outcome::Accepted(object.version),
        _ => Outcome::Undecided,
    })
}

enum Round {
    End(Outcome),
    Raced(u64),
    Failed(platform::Error),
}

fn exhausted<E: std::error::Error + 'static>(
    round: Round,
    is_lost: bool,
) -> Result<Outcome, Error<E>> {
    match round {
        Round::End(outcome) => Ok(outcome),
        _ if is_lost => Ok(Outcome::Undecided),
        Round::Raced(version) => Ok(Outcome::Conflict(version)),
        Round::Failed(error) => Err(Error::Unavailable(error)),
    }
}

async fn round<E: std::error::Error + 'static>(
    client: &platform::Client,
    request: &Request<'_>,
    edit: &impl Fn(Option<&Value>) -> Result<Value, E>,
    lost: &mut Option<Attempt>,
) -> Result<Round, Error<E>> {
    let object = match client.get(RECORD_KIND, request.name).await {
        Ok(object) => object,
        Err(error) => return Ok(Round::Failed(error)),
    };
    if let Some(outcome) = settle(lost, request, object.as_ref()) {
        return Ok(Round::End(outcome));
    }
    let attempt = match plan(object.as_ref(), request) {
        Step::Done(version) => return Ok(Round::End(Outcome::Accepted(version))),
        Step::Conflict(version) => return Ok(Round::End(Outcome::Conflict(version))),
        Step::Write(attempt) => attempt,
    };
    let before = object.as_ref().map(|object| &object.value);
    let edited = edit(before.map(record)).map_err(Error::Edit)?;
    let value = stored_object(before, request.id, edited);
    let put = client.put(RECORD_KIND, request.name, attempt.guard, &value);
    Ok(match put.await {
        Ok(version) => Round::End(Outcome::Accepted(version)),
        Err(platform::Error::Conflict(_)) => {
            Round::Raced(object.map_or(0, |object| object.version))
        }
        Err(error @ platform::Error::Refused(_)) if lost.is_none() => {
            return Err(Error::Unavailable(error));
        }
        Err(error @ (platform::Error::Refused(_) | platform::Error::Busy(_))) => {
            Round::Failed(error)
        }
        Err(error) => {
            *lost = Some(attempt);
            Round::Failed(error)
        }
    })
}

fn settle(
    lost: &mut Option<Attempt>,
    request: &Request<'_>,
    object: Option<&platform::Object>,
) -> Option<Outcome> {
    let attempt = lost.as_ref()?;
    match resolve_lost_write(attempt, request.id, object) {
        LostWriteOutcome::Accepted(version) => Some(Outcome::Accepted(version)),
        LostWriteOutcome::Undecided => Some(Outcome::Undecided),
        LostWriteOutcome::NotApplied => None,
        LostWriteOutcome::Conflict(_) => {
            *lost = None;
            None
        }
    }
}

fn contains(object: Option<&platform::Object>, id: &str) -> bool {
    object.is_some_and(|object| ids(&object.value).any(|other| other == id))
}

fn last(object: &platform::Object) -> Option<&str> {
    ids(&object.value).next_back()
}

fn is_complete(guard: platform::Precondition, object: Option<&platform::Object>) -> bool {
    let kept = object.map_or(0, |object| ids(&object.value).count());
    guard == platform::Precondition::Absent && (1..MAX_CHANGE_IDS).contains(&kept)
}
