//! Requests that name a record, change or upstream: their change id and precondition, and
//! the writes that they ask for.

use gotham::{
    hyper::{HeaderMap, StatusCode, Uri, header},
    state::{FromState, State},
};
use serde_json::Value;

use super::{Admin, NamePath};
use crate::{admin_reply, change, former_addresses, record};

/// HTTP header that carries the change id.
pub const CHANGE_HEADER: &str = "cassiacross-change";

/// A request to a path that contains a name.
pub(super) struct Call {
    pub(super) admin: Admin,
    pub(super) name: String,
    headers: HeaderMap,
    force: bool,
}

impl Call {
    /// Takes the name and the headers out of the state of a request.
    pub(super) fn from_state(state: &mut State) -> Self {
        let query = Uri::borrow_from(state).query().unwrap_or_default();
        Self {
            force: query.split('&').any(|pair| pair == "force=true"),
            admin: Admin::borrow_from(state).clone(),
            name: NamePath::take_from(state).name,
            headers: HeaderMap::take_from(state),
        }
    }

    fn change_id(&self) -> Result<&str, admin_reply::Reply> {
        let id = self
            .headers
            .get(CHANGE_HEADER)
            .and_then(|value| value.to_str().ok());
        id.filter(|id| change::record_name(id).is_some())
            .ok_or_else(|| {
                let message = format!("header {CHANGE_HEADER} must be a change id RECORD~ID");
                admin_reply::Reply::error(StatusCode::BAD_REQUEST, &message)
            })
    }

    fn request(&self) -> Result<change::Request<'_>, admin_reply::Reply> {
        let id = self.change_id()?;
        if change::record_name(id) != Some(&self.name) {
            let message = "change id belongs to another record";
            return Err(admin_reply::Reply::error(StatusCode::BAD_REQUEST, message));
        }
        Ok(change::Request {
            name: &self.name,
            id,
            precondition: self.precondition()?,
        })
    }

    fn precondition(&self) -> Result<change::Precondition, admin_reply::Reply> {
        if self.force {
            return Ok(change::Precondition::Any);
        }
        let text = |name| self.headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::IF_NONE_MATCH) == Some("*") {
            return Ok(change::Precondition::Absent);
        }
        let version = text(header::IF_MATCH).and_then(|text| text.trim_matches('"').parse().ok());
        version.map(change::Precondition::Version).ok_or_else(|| {
            admin_reply::Reply::error(
                StatusCode::PRECONDITION_REQUIRED,
                "precondition is missing: use If-Match with a version, If-None-Match: *, or force=true",
            )
        })
    }

    /// Writes a record.
    pub(super) async fn put(
        &self,
        body: Result<Value, admin_reply::Reply>,
    ) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let document = body?;
        let request = self.request()?;
        match record::parse(&self.name, &document) {
            Ok(record::Document::Service(_)) => {}
            Ok(record::Document::Deleted) => {
                return Err(admin_reply::Reply::error(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "a tombstone cannot be written with PUT; use DELETE",
                ));
            }
            Err(error) => return Err(admin_reply::Reply::invalid_record(&error)),
        }
        let edit = |before: Option<&Value>| {
            let mut document = document.clone();
            if let Some(before) = before {
                former_addresses::carry_over(before, &mut document);
            }
            Ok(document)
        };
        Ok(self.admin.commit(&request, edit).await)
    }

    /// Replaces a record by a tombstone.
    pub(super) async fn delete(&self) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let request = self.request()?;
        let edit = |before: Option<&Value>| match before {
            Some(before) if !record::is_deleted(before) => Ok(record::tombstone()),
            _ => Err(admin_reply::Reply::error(
                StatusCode::NOT_FOUND,
                "record does not exist",
            )),
        };
        Ok(self.admin.commit(&request, edit).await)
    }

    /// Edits the weight of an upstream in the record that the change id names.
    pub(super) async fn change_weight(
        &self,
        edit_weight: fn(&mut Value, &str),
    ) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let id = self.change_id()?;
        if !record::is_valid_name(&self.name) {
            return Err(admin_reply::Reply::error(
                StatusCode::BAD_REQUEST,
                "invalid upstream name",
            ));
        }
        let request = change::Request {
            name: change::record_name(id).unwrap_or_default(),
            id,
            precondition: change::Precondition::Any,
        };
        let edit = |before: Option<&Value>| {
            let before = before.filter(|before| !record::is_deleted(before));
            let mut document = before.cloned().ok_or_else(|| {
                admin_reply::Reply::error(StatusCode::NOT_FOUND, "record does not exist")
            })?;
            edit_weight(&mut document, &self.name);
            record::parse(request.name, &document)
                .map_err(|error| admin_reply::Reply::invalid_record(&error))?;
            Ok(document)
        };
        Ok(self.admin.commit(&request, edit).await)
    }
}
