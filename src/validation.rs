//! Validating reader of JSON objects. It collects the errors of all fields, each with
//! the path of its field, instead of stopping at the first.

use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde_json::{Map, Value};

/// An error in one field of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    /// Path of the field, such as `advertise.http`.
    pub path: String,
    /// Error message, such as `must be a string`.
    pub message: String,
}

/// Reads the fields of one JSON object and collects the errors.
#[derive(Debug)]
pub struct Reader<'a> {
    prefix: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    lenient: bool,
    errors: Vec<FieldError>,
}

impl<'a> Reader<'a> {
    /// Creates a strict reader of the object `value` at the path `prefix`; fields that
    /// are never read are reported as unknown.
    #[must_use]
    pub fn new(value: &'a Value, prefix: &str) -> Self {
        let mut reader = Self {
            prefix: prefix.to_owned(),
            fields: value.as_object(),
            known: Vec::new(),
            lenient: false,
            errors: Vec::new(),
        };
        if reader.fields.is_none() {
            reader.add_error("", "must be an object");
        }
        reader
    }

    /// Creates a reader like [`Reader::new`] that ignores unknown fields.
    #[must_use]
    pub fn lenient(value: &'a Value, prefix: &str) -> Self {
        let mut reader = Self::new(value, prefix);
        reader.lenient = true;
        reader
    }

    /// Returns a reader of the object in a field; an absent field reads as an empty object.
    #[must_use]
    pub fn object(&mut self, name: &'static str) -> Self {
        match self.value(name) {
            Some(value) if self.lenient => Self::lenient(value, &self.path(name)),
            Some(value) => Self::new(value, &self.path(name)),
            None => Self {
                prefix: self.path(name),
                fields: None,
                known: Vec::new(),
                lenient: self.lenient,
                errors: Vec::new(),
            },
        }
    }

    /// Adds the errors of another reader.
    pub fn merge_errors(&mut self, other: Self) {
        self.errors.extend(other.into_errors());
    }

    /// Returns the result of `value` if it is present and there are no errors, otherwise
    /// the collected errors.
    pub fn finish<T>(self, value: impl FnOnce() -> Option<T>) -> Result<T, Vec<FieldError>> {
        let errors = self.into_errors();
        match value() {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(errors),
        }
    }

    fn into_errors(mut self) -> Vec<FieldError> {
        if self.lenient {
            return self.errors;
        }
        let unknown: Vec<_> = self
            .fields
            .into_iter()
            .flat_map(Map::keys)
            .filter(|name| !self.known.contains(&name.as_str()))
            .cloned()
            .collect();
        for name in unknown {
            self.add_error(&name, "is not a known field");
        }
        self.errors
    }

    /// Returns the value of a field, if present.
    pub fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.fields.and_then(|fields| fields.get(name))
    }

    /// Reads a string of at least `min_len` bytes.
    pub fn string(&mut self, name: &'static str, min_len: usize) -> Option<String> {
        let text = self.value(name).and_then(Value::as_str);
        match text {
            Some(text) if text.len() >= min_len => return Some(text.to_owned()),
            Some(_) => self.add_error(name, &format!("must be at least {min_len} bytes long")),
            None => self.add_error(name, "must be a string"),
        }
        None
    }

    /// Reads a string that parses as the socket address type `T`: an IP address with a port.
    pub fn parse<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        let value = self.value(name);
        let parsed = value.and_then(parse_string);
        if parsed.is_none() {
            self.add_error(
                name,
                "must be an IP address with a port, such as \"10.0.0.1:7000\"",
            );
        }
        parsed
    }

    /// Reads a socket address like [`Reader::parse`] from a field that may be absent.
    pub fn parse_optional<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        if self.fields.is_some_and(|fields| fields.contains_key(name)) {
            return self.parse(name);
        }
        self.known.push(name);
        None
    }

    /// Reads a list of socket addresses, without the invalid ones; empty if the field is
    /// absent.
    pub fn parse_list<T: FromStr>(&mut self, name: &'static str) -> Vec<T> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.add_error(name, "must be a list");
            return Vec::new();
        };
        let mut parsed = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            match parse_string(item) {
                Some(item) => parsed.push(item),
                None => self.add_error(
                    &format!("{name}[{index}]"),
                    "must be an IP address with a port",
                ),
            }
        }
        parsed
    }

    /// Reads an integer within `range`, or returns `default` if the field is absent or invalid.
    pub fn integer(&mut self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let (min, max) = (range.start(), range.end());
            self.add_error(name, &format!("must be an integer from {min} to {max}"));
        }
        number.unwrap_or(default)
    }

    /// Reads a boolean, or returns `default` if the field is absent or invalid.
    pub fn boolean(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.value(name) else {
            return default;
        };
        if !value.is_boolean() {
            self.add_error(name, "must be true or false");
        }
        value.as_bool().unwrap_or(default)
    }

    /// Returns the items of a list of at most `max` items, each with its path; empty if
    /// the field is absent or invalid.
    pub fn items(&mut self, name: &'static str, max: usize) -> Vec<(String, &'a Value)> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.add_error(name, "must be a list");
            return Vec::new();
        };
        if items.len() > max {
            self.add_error(name, &format!("must have at most {max} items"));
            return Vec::new();
        }
        let path = self.path(name);
        let items = items.iter().enumerate();
        items
            .map(|(index, item)| (format!("{path}[{index}]"), item))
            .collect()
    }

    /// Records an error for a field.
    pub fn add_error(&mut self, name: &str, message: &str) {
        let path = self.path(name);
        self.errors.push(FieldError {
            path,
            message: message.to_owned(),
        });
    }

    /// Returns the full path of a field.
    #[must_use]
    pub fn path(&self, name: &str) -> String {
        match (self.prefix.as_str(), name) {
            ("", "") => "document".to_owned(),
            ("", name) => name.to_owned(),
            (prefix, "") => prefix.to_owned(),
            (prefix, name) => format!("{prefix}.{name}"),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.path, self.message)
    }
}

fn parse_string<T: FromStr>(value: &Value) -> Option<T> {
    value.as_str().and_then(|text| text.parse().ok())
}

/// Formats errors as an indented list, each on its own line.
#[must_use]
pub fn format_errors(errors: &[FieldError]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("\n  {error}")).collect();
    lines.concat()
}
