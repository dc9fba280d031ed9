//! Validation of JSON objects against tables of fields. Reports all faults, not only the first.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A validation error in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{path}: {problem}")]
pub struct FieldFault {
    /// JSON path of the faulty value, such as `$.spec.rules[0].host`.
    pub path: Box<str>,
    /// What is wrong with the value and which values are allowed.
    pub problem: Box<str>,
}

impl FieldFault {
    /// Returns a fault of the value at `path`.
    pub fn new(path: &str, problem: impl Into<Box<str>>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }
}

/// Type and range of a field's value.
#[derive(Debug, Clone, Copy)]
pub enum FieldKind {
    /// A non-empty string.
    NonEmptyString,
    /// A name of 1 to 63 characters from a-z, 0-9 and "-".
    Name,
    /// A number between two inclusive bounds.
    Number(f64, f64),
    /// A non-negative integer between two inclusive bounds.
    Integer(u64, u64),
    /// `true` or `false`.
    Boolean,
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list of non-empty strings, with its maximum length.
    StringList(usize),
    /// A list of integers, with its maximum length and the inclusive bounds of its items.
    IntegerList(usize, u64, u64),
    /// An object with the given fields.
    Object(&'static [FieldRule]),
    /// A non-empty list of objects, with its maximum length and the fields of its items.
    ObjectList(usize, &'static [FieldRule]),
}

/// A permitted field of an object.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// Name of the field in the JSON object.
    pub name: &'static str,
    /// Permitted values.
    pub kind: FieldKind,
    /// Whether its absence is a fault.
    pub is_required: bool,
}

/// Adds a fault for each unknown, missing or invalid field of `value`.
pub fn check_fields(path: &str, value: &Value, rules: &[FieldRule], faults: &mut Vec<FieldFault>) {
    let Some(object) = value.as_object() else {
        faults.push(FieldFault::new(path, "must be an object"));
        return;
    };
    for name in object.keys().filter(|name| !rules.iter().any(|rule| rule.name == **name)) {
        let known_names: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
        let problem =
            format!("field \"{name}\" does not exist; known fields: {}", known_names.join(", "));
        faults.push(FieldFault::new(&format!("{path}.{name}"), problem));
    }
    for rule in rules {
        let field_path = format!("{path}.{}", rule.name);
        match object.get(rule.name) {
            Some(field) => check_value(&field_path, field, rule.kind, faults),
            None if rule.is_required => {
                faults.push(FieldFault::new(&field_path, "is missing; it is required"));
            }
            None => {}
        }
    }
}

fn check_value(path: &str, value: &Value, kind: FieldKind, faults: &mut Vec<FieldFault>) {
    if let Some(problem) = value_problem(value, kind) {
        faults.push(FieldFault::new(path, problem));
        return;
    }
    match kind {
        FieldKind::Object(rules) => check_fields(path, value, rules, faults),
        FieldKind::ObjectList(_, rules) => {
            for (index, item) in value.as_array().into_iter().flatten().enumerate() {
                check_fields(&format!("{path}[{index}]"), item, rules, faults);
            }
        }
        FieldKind::StringList(_) => check_items(path, value, FieldKind::NonEmptyString, faults),
        FieldKind::IntegerList(_, min, max) => {
            check_items(path, value, FieldKind::Integer(min, max), faults);
        }
        _ => {}
    }
}

fn check_items(path: &str, value: &Value, kind: FieldKind, faults: &mut Vec<FieldFault>) {
    for (index, item) in value.as_array().into_iter().flatten().enumerate() {
        check_value(&format!("{path}[{index}]"), item, kind, faults);
    }
}

/// Returns what is wrong with `value` itself; items and nested fields are checked separately.
fn value_problem(value: &Value, kind: FieldKind) -> Option<String> {
    let is_valid = match kind {
        FieldKind::NonEmptyString => value.as_str().is_some_and(|text| !text.is_empty()),
        FieldKind::Name => {
            value.as_str().is_some_and(|text| text.parse::<crate::RecordName>().is_ok())
        }
        FieldKind::Number(min, max) => {
            value.as_f64().is_some_and(|number| number >= min && number <= max)
        }
        FieldKind::Integer(min, max) => {
            value.as_u64().is_some_and(|number| number >= min && number <= max)
        }
        FieldKind::Boolean => value.is_boolean(),
        FieldKind::Choice(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
        FieldKind::StringList(max_items) | FieldKind::IntegerList(max_items, _, _) => {
            value.as_array().is_some_and(|items| items.len() <= max_items)
        }
        FieldKind::Object(_) => value.is_object(),
        FieldKind::ObjectList(max_items, _) => {
            value.as_array().is_some_and(|items| !items.is_empty() && items.len() <= max_items)
        }
    };
    if is_valid { None } else { Some(format!("must be {}", describe_kind(kind))) }
}

fn describe_kind(kind: FieldKind) -> String {
    match kind {
        FieldKind::NonEmptyString => "a non-empty text".into(),
        FieldKind::Name => "a name of 1 to 63 characters of a-z, 0-9 and \"-\"".into(),
        FieldKind::Number(min, max) => format!("a number from {min} to {max}"),
        FieldKind::Integer(min, max) => format!("a whole number from {min} to {max}"),
        FieldKind::Boolean => "true or false".into(),
        FieldKind::Choice(choices) => format!("one of {}", choices.join(", ")),
        FieldKind::StringList(max_items) => format!("a list of at most {max_items} texts"),
        FieldKind::IntegerList(max_items, min, max) => {
            format!("a list of at most {max_items} whole numbers from {min} to {max}")
        }
        FieldKind::Object(_) => "an object".into(),
        FieldKind::ObjectList(max_items, _) => format!("a list of 1 to {max_items} objects"),
    }
}
