//! Reading JSON with comments, with the line of each fault.

use std::path::Path;

use jsonc_parser::ast::{ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use crate::Fault;

/// A document that can be checked beyond its shape.
pub trait Check {
    /// Lists what is wrong, by path; an empty list means that the document may be used.
    fn check(&self) -> Vec<Fault>;
}

/// Reads a file and checks it.
///
/// # Errors
/// A line for each fault, with its number and the file's path.
pub fn read_document<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Vec<String>> {
    let shown = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|error| vec![format!("[5006] {shown}: {error}")])?;
    parse_document(&text)
        .map_err(|faults| faults.iter().map(|fault| format!("[5001] {shown}: {fault}")).collect())
}

/// Reads a document and checks it.
///
/// # Errors
/// All faults found, each with path and line. A fault of the shape hides those behind it.
pub fn parse_document<T: Check + DeserializeOwned>(text: &str) -> Result<T, Vec<Fault>> {
    let document = read_shape(text).map_err(|fault| vec![fault])?;
    let mut faults = T::check(&document);
    if faults.is_empty() {
        return Ok(document);
    }
    for fault in &mut faults {
        fault.line = line_of_path(text, &fault.path);
    }
    Err(faults)
}

fn read_shape<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &options())
        .map_err(|error| syntax_fault(text, &error))?;
    serde_path_to_error::deserialize(&value).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        let line = line_of_path(text, &path);
        Fault { path, line, message: error.into_inner().to_string() }
    })
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    }
}

fn syntax_fault(text: &str, error: &jsonc_parser::errors::ParseError) -> Fault {
    let line = line_of_offset(text, error.range().start);
    Fault { path: String::new(), line, message: format!("not valid JSON: {}", error.kind()) }
}

fn line_of_offset(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// Finds the line of the deepest part of a path that stands in the text.
fn line_of_path(text: &str, path: &str) -> usize {
    let Ok(parsed) = parse_to_ast(text, &CollectOptions::default(), &options()) else {
        return 1;
    };
    let Some(mut value) = parsed.value.as_ref() else {
        return 1;
    };
    let mut offset = value.range().start;
    for step in split_path(path) {
        match step_into(value, &step) {
            Some((start, next)) => {
                offset = start;
                value = next;
            }
            None => break,
        }
    }
    line_of_offset(text, offset)
}

fn split_path(path: &str) -> Vec<String> {
    path.replace('[', ".").replace(']', "").split('.').map(str::to_owned).collect()
}

fn step_into<'a, 'text>(value: &'a Value<'text>, step: &str) -> Option<(usize, &'a Value<'text>)> {
    match value {
        Value::Object(object) => object
            .properties
            .iter()
            .find(|property| prop_name(&property.name) == step)
            .map(|property| (property.range.start, &property.value)),
        Value::Array(array) => {
            let index: usize = step.parse().ok()?;
            let element = array.elements.get(index)?;
            Some((element.range().start, element))
        }
        _ => None,
    }
}

fn prop_name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(literal) => literal.value,
    }
}
