//! Reads fields of JSON objects and gathers all faults, each with its path.

use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde_json::{Map, Value};

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    /// Path of the field, such as `advertise.http`.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

/// Reads the fields of one object and gathers faults.
#[derive(Debug)]
pub struct Reader<'a> {
    prefix: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    open: bool,
    faults: Vec<FieldError>,
}

impl<'a> Reader<'a> {
    /// Reads `value`, an object at the path `prefix`; fields never asked for are faults.
    #[must_use]
    pub fn new(value: &'a Value, prefix: &str) -> Self {
        let mut reader = Self {
            prefix: prefix.to_owned(),
            fields: value.as_object(),
            known: Vec::new(),
            open: false,
            faults: Vec::new(),
        };
        if reader.fields.is_none() {
            reader.add_error("", "must be an object");
        }
        reader
    }

    /// Reads `value` like [`Reader::new`], but lets unknown fields be.
    #[must_use]
    pub fn lenient(value: &'a Value, prefix: &str) -> Self {
        let mut reader = Self::new(value, prefix);
        reader.open = true;
        reader
    }

    /// A reader of the object in a field; absent counts as empty.
    #[must_use]
    pub fn object(&mut self, name: &'static str) -> Self {
        match self.value(name) {
            Some(value) if self.open => Self::lenient(value, &self.path(name)),
            Some(value) => Self::new(value, &self.path(name)),
            None => Self {
                prefix: self.path(name),
                fields: None,
                known: Vec::new(),
                open: self.open,
                faults: Vec::new(),
            },
        }
    }

    /// Takes over the faults of another reader.
    pub fn merge_errors(&mut self, other: Self) {
        self.faults.extend(other.into_faults());
    }

    /// What `value` gives if there are no faults.
    pub fn finish<T>(self, value: impl FnOnce() -> Option<T>) -> Result<T, Vec<FieldError>> {
        let faults = self.into_faults();
        match value() {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }

    fn into_faults(mut self) -> Vec<FieldError> {
        if self.open {
            return self.faults;
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
        self.faults
    }

    /// The field's value, if it is there.
    pub fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.fields.and_then(|fields| fields.get(name))
    }

    /// A text of at least `min_len` bytes.
    pub fn string(&mut self, name: &'static str, min_len: usize) -> Option<String> {
        let text = self.value(name).and_then(Value::as_str);
        match text {
            Some(text) if text.len() >= min_len => return Some(text.to_owned()),
            Some(_) => self.add_error(name, &format!("must have {min_len} characters or more")),
            None => self.add_error(name, "must be a text"),
        }
        None
    }

    /// An IP number with a port.
    pub fn parse<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        let value = self.value(name);
        let parsed = value.and_then(parse_string);
        if parsed.is_none() {
            self.add_error(
                name,
                "must be an IP number with a port, such as \"10.0.0.1:7000\"",
            );
        }
        parsed
    }

    /// An IP number with a port, where the field is there.
    pub fn parse_optional<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        if self.fields.is_some_and(|fields| fields.contains_key(name)) {
            return self.parse(name);
        }
        self.known.push(name);
        None
    }

    /// A list of IP numbers with ports.
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
                    "must be an IP number with a port",
                ),
            }
        }
        parsed
    }

    /// A whole number within `range`, or `default` where the field is absent.
    pub fn integer(&mut self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let (min, max) = (range.start(), range.end());
            self.add_error(name, &format!("must be a number from {min} to {max}"));
        }
        number.unwrap_or(default)
    }

    /// A truth value, or `default` where the field is absent.
    pub fn boolean(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.value(name) else {
            return default;
        };
        if !value.is_boolean() {
            self.add_error(name, "must be true or false");
        }
        value.as_bool().unwrap_or(default)
    }

    /// The items of a list of at most `max`, each with its path; empty where the field is absent.
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

    /// Notes a fault of a field.
    pub fn add_error(&mut self, name: &str, message: &str) {
        let path = self.path(name);
        self.faults.push(FieldError {
            path,
            message: message.to_owned(),
        });
    }

    /// The whole path of a field.
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

/// Faults as text, one a line.
#[must_use]
pub fn format_errors(faults: &[FieldError]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    lines.concat()
}
