//! Record changes: conditional writes to the platform store whose outcome can be queried.
//!
//! A stored object is `{"changes": [..], "era": .., "record": ..}`, where `changes` holds the
//! ids of the last changes, newest last, and `era` is the store's era at the last change. The
//! era is part of the record's version, see [`version`].
//!
//! If the response to a write is lost, the
//! object is read back: if it contains the change id, the write took effect; if it
//! was changed without the id, the write failed; if it is unchanged, the same write
//! is retried under the same precondition, so that it takes effect at most once.

use serde_json::{Map, Value};
use thiserror::Error;

use crate::{backoff, clock, platform, record};

/// Kind of the stored objects that hold records.
pub const RECORD_KIND: &str = "cassiacross-records";

/// Timeout of one call to the platform store; a watch call adds its wait time.
pub const CALL_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// Maximum number of change ids in a stored object.
pub const MAX_CHANGE_IDS: usize = 16;

/// Maximum number of retries of one change.
pub const MAX_RETRIES: u32 = 5;

const MAX_ID_LEN: usize = 128;
const ID_SEPARATOR: char = '~';
const CHANGES_FIELD: &str = "changes";
const RECORD_FIELD: &str = "record";
const ERA_FIELD: &str = "era";

/// Number of low bits of a record's version that hold the store's revision. The rest is the era.
const REVISION_BITS: u32 = 40;

/// Condition on the current version of a record for a change to be written.
///
/// Objects are never removed from the store, so a precondition of `Absent` or a
/// version that has failed once fails forever, unless the store is restored from a backup.
/// Otherwise a conflict that one balancer reports is final for all balancers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// No condition; after a concurrent change the write is retried on the new version.
    Any,
    /// The record never existed; a deleted record has a version.
    Absent,
    /// The record is at this version.
    Version(u64),
}

/// A requested change.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Record name.
    pub name: &'a str,
    /// Change id, chosen by the client, see [`record_name`].
    pub id: &'a str,
    /// Condition on the current record.
    pub precondition: Precondition,
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write is confirmed; the record is at this version or a later one.
    Accepted(u64),
    /// Nothing was written; the record was read at this version, 0 for none.
    Conflict(u64),
    /// The outcome is unknown; it can be queried with the change id.
    Undecided,
}

/// The reason why a change was not written.
#[derive(Debug, Error)]
pub enum Error<E: std::error::Error + 'static> {
    /// The platform store could not be read or refused the write; nothing was written.
    #[error("platform store is not available; nothing was written: {0}")]
    Unavailable(#[source] platform::Error),
    /// The edit function rejected the current record.
    #[error(transparent)]
    Edit(E),
}

/// A conditional write of a change, kept to resolve its outcome if the response is lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Required state of the object.
    pub precondition: platform::Precondition,
    /// Newest change id of the object in that state.
    pub last_id: Option<String>,
}

/// Next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The change has already been applied; the record is at this version.
    Done(u64),
    /// The precondition is not met; the record is at this version.
    Conflict(u64),
    /// The write to send.
    Write(Attempt),
}

/// Outcome of a write whose response was lost, determined from the object read back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostWriteOutcome {
    /// The write took effect; the record is at this version.
    Accepted(u64),
    /// The write did not take effect and never will; the record is at this version.
    Conflict(u64),
    /// The write has not taken effect yet; the same write may be retried.
    NotApplied,
    /// The outcome cannot be determined, because the object no longer holds all change
    /// ids since the write.
    Undecided,
}

/// Returns the record in a stored object, or null if there is none.
#[must_use]
pub fn record(value: &Value) -> &Value {
    value.get(RECORD_FIELD).unwrap_or(&Value::Null)
}

/// Returns the version of the record in a stored object.
///
/// Versions increase with each change, also across restores of the store from a backup: the
/// era of a change precedes its revision, which the store may have assigned before to a change
/// that is lost. Restored objects keep the versions that they had, so that a lost change stays
/// active until a later one replaces it.
#[must_use]
pub fn version(object: &platform::Object) -> u64 {
    let era = object.value.get(ERA_FIELD).and_then(Value::as_u64);
    compose_version(era.unwrap_or(0), object.version)
}

const fn compose_version(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | revision
}

/// Returns the change ids in a stored object, newest last.
pub fn ids(value: &Value) -> impl DoubleEndedIterator<Item = &str> {
    let ids = value.get(CHANGES_FIELD).and_then(Value::as_array);
    ids.into_iter().flatten().filter_map(Value::as_str)
}

/// Builds the object to store in an era with a new record and an additional change id; other
/// fields are kept.
#[must_use]
pub fn stored_object(before: Option<&Value>, id: &str, era: u64, record: Value) -> Value {
    let mut fields = before.and_then(Value::as_object).cloned();
    let mut ids: Vec<_> = before.into_iter().flat_map(ids).map(Value::from).collect();
    ids.push(Value::from(id));
    ids.drain(..ids.len().saturating_sub(MAX_CHANGE_IDS));
    let fields = fields.get_or_insert_with(Map::new);
    fields.insert(CHANGES_FIELD.to_owned(), Value::from(ids));
    fields.insert(ERA_FIELD.to_owned(), Value::from(era));
    fields.insert(RECORD_FIELD.to_owned(), record);
    Value::Object(std::mem::take(fields))
}

/// Creates a change id `NAME~BITS` for a record from random bits.
#[must_use]
pub fn new_id(name: &str, random: u64) -> String {
    format!("{name}{ID_SEPARATOR}{random:016x}")
}

/// Returns the record name in a change id `NAME~TEXT`, or `None` if the id is invalid.
#[must_use]
pub fn record_name(id: &str) -> Option<&str> {
    let (name, suffix) = id.split_once(ID_SEPARATOR)?;
    let is_valid = record::is_valid_name(suffix) && id.len() <= MAX_ID_LEN;
    (is_valid && record::is_valid_name(name)).then_some(name)
}

/// Returns the next step of a change, given the current object.
#[must_use]
pub fn plan(object: Option<&platform::Object>, request: &Request<'_>) -> Step {
    let version = object.map_or(0, version);
    if contains_id(object, request.id) {
        return Step::Done(version);
    }
    let is_met = match request.precondition {
        Precondition::Any => true,
        Precondition::Absent => object.is_none(),
        Precondition::Version(expected) => expected == version,
    };
    if !is_met {
        return Step::Conflict(version);
    }
    Step::Write(Attempt {
        precondition: platform::Object::precondition(object),
        last_id: object.and_then(last_id).map(str::to_owned),
    })
}

/// Determines the outcome of a write whose response was lost from the object read back.
#[must_use]
pub fn resolve_lost_write(
    attempt: &Attempt,
    id: &str,
    object: Option<&platform::Object>,
) -> LostWriteOutcome {
    let version = object.map_or(0, version);
    if contains_id(object, id) {
        return LostWriteOutcome::Accepted(version);
    }
    if platform::Object::precondition(object) == attempt.precondition {
        return LostWriteOutcome::NotApplied;
    }
    // A missing id proves that the write failed only if the object holds all ids since the attempt.
    let has_full_history = match &attempt.last_id {
        Some(last_id) => contains_id(object, last_id),
        None => holds_all_ids(attempt.precondition, object),
    };
    if has_full_history {
        LostWriteOutcome::Conflict(version)
    } else {
        LostWriteOutcome::Undecided
    }
}

/// Commits a change, with retries; `edit` returns the new record for the current one.
pub async fn commit<E: std::error::Error + 'static>(
    client: &platform::Client,
    request: &Request<'_>,
    edit: impl Fn(Option<&Value>) -> Result<Value, E>,
    mut backoff: backoff::Backoff,
) -> Result<Outcome, Error<E>> {
    let mut lost: Option<Attempt> = None;
    loop {
        let result = try_commit(client, request, &edit, &mut lost).await?;
        if let TryResult::Done(outcome) = result {
            return Ok(outcome);
        }
        let Some(delay) = backoff.next_delay() else {
            return final_outcome(result, lost.is_some());
        };
        tokio::time::sleep(delay.to_duration()).await;
    }
}

/// Queries whether a change took effect; [`Outcome::Undecided`] if the object does not
/// contain its id.
pub async fn query_outcome(
    client: &platform::Client,
    name: &str,
    id: &str,
) -> Result<Outcome, platform::Error> {
    let object = client.get(RECORD_KIND, name).await?;
    Ok(match object {
        Some(object) if contains_id(Some(&object), id) => Outcome::Accepted(version(&object)),
        _ => Outcome::Undecided,
    })
}

/// Result of one read and write, which is repeated unless it is `Done`.
enum TryResult {
    Done(Outcome),
    /// Another change was written after the read of this version.
    Raced(u64),
    Failed(platform::Error),
}

/// Returns the outcome of a change whose last retry was not `Done`; undecided if the
/// response to one of its writes was lost.
fn final_outcome<E: std::error::Error + 'static>(
    result: TryResult,
    is_response_lost: bool,
) -> Result<Outcome, Error<E>> {
    match result {
        TryResult::Done(outcome) => Ok(outcome),
        _ if is_response_lost => Ok(Outcome::Undecided),
        TryResult::Raced(version) => Ok(Outcome::Conflict(version)),
        TryResult::Failed(error) => Err(Error::Unavailable(error)),
    }
}

async fn try_commit<E: std::error::Error + 'static>(
    client: &platform::Client,
    request: &Request<'_>,
    edit: &impl Fn(Option<&Value>) -> Result<Value, E>,
    lost: &mut Option<Attempt>,
) -> Result<TryResult, Error<E>> {
    let object = match client.get(RECORD_KIND, request.name).await {
        Ok(object) => object,
        Err(error) => return Ok(TryResult::Failed(error)),
    };
    if let Some(outcome) = resolve_earlier_write(lost, request, object.as_ref()) {
        return Ok(TryResult::Done(outcome));
    }
    let attempt = match plan(object.as_ref(), request) {
        Step::Done(version) => return Ok(TryResult::Done(Outcome::Accepted(version))),
        Step::Conflict(version) => return Ok(TryResult::Done(Outcome::Conflict(version))),
        Step::Write(attempt) => attempt,
    };
    let before = object.as_ref().map(|object| &object.value);
    let edited = edit(before.map(record)).map_err(Error::Edit)?;
    let era = client.era().borrow().unwrap_or(0);
    let value = stored_object(before, request.id, era, edited);
    let put = client.put(RECORD_KIND, request.name, attempt.precondition, &value);
    Ok(match put.await {
        Ok(revision) => TryResult::Done(Outcome::Accepted(compose_version(era, revision))),
        Err(platform::Error::Conflict(_)) => TryResult::Raced(object.as_ref().map_or(0, version)),
        // After a lost response, a refusal says nothing about the earlier write, so that the
        // object has to be read again.
        Err(error @ platform::Error::Refused(_)) if lost.is_none() => {
            return Err(Error::Unavailable(error));
        }
        Err(error @ (platform::Error::Refused(_) | platform::Error::Busy(_))) => {
            TryResult::Failed(error)
        }
        Err(error) => {
            *lost = Some(attempt);
            TryResult::Failed(error)
        }
    })
}

/// Returns the outcome of an earlier write whose response was lost, or `None` if there is
/// no such write or the change has to be written again.
fn resolve_earlier_write(
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

fn contains_id(object: Option<&platform::Object>, id: &str) -> bool {
    object.is_some_and(|object| ids(&object.value).any(|other| other == id))
}

fn last_id(object: &platform::Object) -> Option<&str> {
    ids(&object.value).next_back()
}

/// Returns whether the object holds the ids of all changes since its creation: none has
/// been dropped as long as there are fewer than [`MAX_CHANGE_IDS`].
fn holds_all_ids(precondition: platform::Precondition, object: Option<&platform::Object>) -> bool {
    let count = object.map_or(0, |object| ids(&object.value).count());
    precondition == platform::Precondition::Absent && (1..MAX_CHANGE_IDS).contains(&count)
}
