//! Parsing and validation of JSON with comments; errors carry the line in the source text.

use std::path::Path;

use jsonc_parser::ast::{ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use crate::ValidationError;

/// Semantic validation of a deserialized document.
pub trait Check {
    /// Returns all validation errors, with paths but without lines; empty if the document is valid.
    fn check(&self) -> Vec<ValidationError>;
}

/// Reads, parses and validates a file.
///
/// # Errors
/// One message per error, with the error number, the file's path, and the line and path in the
/// file.
pub fn read_document<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Vec<String>> {
    let displayed_path = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("[5006] {displayed_path}: {error}")])?;
    parse_document(&text).map_err(|errors| {
        errors.iter().map(|error| format!("[5001] {displayed_path}: {error}")).collect()
    })
}

/// Parses and validates a document.
///
/// # Errors
/// All errors found, each with path and line. If the text fails to deserialize, only that error is
/// reported, because validation needs the deserialized document.
pub fn parse_document<T: Check + DeserializeOwned>(text: &str) -> Result<T, Vec<ValidationError>> {
    let document = deserialize_document(text).map_err(|error| vec![error])?;
    let mut errors = T::check(&document);
    if errors.is_empty() {
        return Ok(document);
    }
    for error in &mut errors {
        error.line = line_of_path(text, &error.path);
    }
    Err(errors)
}

fn deserialize_document<T: DeserializeOwned>(text: &str) -> Result<T, ValidationError> {
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &parse_options())
        .map_err(|error| syntax_error(text, &error))?;
    serde_path_to_error::deserialize(&value).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        let line = line_of_path(text, &path);
        ValidationError { path, line, message: error.into_inner().to_string() }
    })
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    }
}

fn syntax_error(text: &str, error: &jsonc_parser::errors::ParseError) -> ValidationError {
    let line = line_of_offset(text, error.range().start);
    ValidationError {
        path: String::new(),
        line,
        message: format!("not valid JSON: {}", error.kind()),
    }
}

fn line_of_offset(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// Returns the line of the longest prefix of a path that exists in the text, starting from 1.
fn line_of_path(text: &str, path: &str) -> usize {
    let Ok(parsed) = parse_to_ast(text, &CollectOptions::default(), &parse_options()) else {
        return 1;
    };
    let Some(mut value) = parsed.value.as_ref() else {
        return 1;
    };
    let mut offset = value.range().start;
    for segment in split_path(path) {
        match find_child(value, &segment) {
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

fn find_child<'a, 'text>(
    value: &'a Value<'text>,
    segment: &str,
) -> Option<(usize, &'a Value<'text>)> {
    match value {
        Value::Object(object) => object
            .properties
            .iter()
            .find(|property| property_name(&property.name) == segment)
            .map(|property| (property.range.start, &property.value)),
        Value::Array(array) => {
            let index: usize = segment.parse().ok()?;
            let element = array.elements.get(index)?;
            Some((element.range().start, element))
        }
        _ => None,
    }
}

fn property_name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(literal) => literal.value,
    }
}
