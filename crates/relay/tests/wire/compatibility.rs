//! Comparison of encodings.

use ciborium::Value;

use super::samples::{RECORDED, read_samples, write_samples};

/// Field that no build knows.
const UNKNOWN_FIELD: &str = "unknown_field";
/// Ends of the paths to maps that are no structs: enums, and maps by organisation, service, rank or zone.
const OPEN_MAPS: [&str; 10] = [
    ".Grant.reply",
    ".a",
    ".address",
    ".c",
    ".f",
    ".r",
    ".s",
    ".services",
    ".zone_prices",
    ".peer_address",
];

#[test]
fn decode_samples_of_earlier_builds() {
    for (commit, file) in RECORDED {
        for sample in read_samples(file) {
            let decoded = (sample.format.decode)(&sample.bytes);
            assert!(decoded.is_ok(), "{commit} {}: {:?}", sample.name, decoded.err());
        }
    }
}

/// A decoded sample, encoded by this build, has all fields of the sample with the same types and values.
#[test]
fn encode_samples_of_earlier_builds_readable_by_them() {
    let mut broken = Vec::new();
    for (commit, file) in RECORDED {
        for sample in read_samples(file) {
            let decoded = (sample.format.decode)(&sample.bytes).expect("a sample is not readable");
            let old = sample.format.parse(&sample.bytes).expect("a sample is invalid");
            let new = sample.format.parse(&decoded.encoded).expect("an encoding is invalid");
            let name = format!("{commit} {}", sample.name);
            compare(&old, &new, &name, &mut broken);
            if old == new {
                assert_eq!(decoded.encoded, sample.bytes, "{name}: the order of fields");
            }
        }
    }
    assert!(broken.is_empty(), "earlier builds can't read: {broken:#?}");
}

/// The contents of the samples, encoded by this build, have all fields that earlier builds write for
/// them.
#[test]
fn encode_contents_readable_by_earlier_builds() {
    let written = read_samples(&write_samples());
    let mut broken = Vec::new();
    for (commit, file) in RECORDED {
        for old in read_samples(file) {
            let new = written.iter().find(|sample| sample.name == old.name);
            let new = new.unwrap_or_else(|| panic!("{commit} {} has no content", old.name));
            let parse = |bytes: &[u8]| old.format.parse(bytes).expect("a sample is invalid");
            let name = format!("{commit} {}", old.name);
            compare(&parse(&old.bytes), &parse(&new.bytes), &name, &mut broken);
        }
    }
    assert!(broken.is_empty(), "earlier builds can't read: {broken:#?}");
}

#[test]
fn decode_unknown_fields_ignored() {
    let (_, newest) = RECORDED[RECORDED.len() - 1];
    for sample in read_samples(newest) {
        let mut value = sample.format.parse(&sample.bytes).expect("a sample is invalid");
        let is_struct = !matches!(sample.format.name, "message" | "open_reply" | "committed_usage");
        let added = add_unknown_fields(&mut value, "", is_struct);
        let has_fields = !matches!(sample.format.name, "open_reply" | "committed_usage");
        assert_eq!(added > 0, has_fields, "{}", sample.name);
        let bytes = sample.format.format(&value).expect("a value can't be encoded");
        let text = |bytes: &[u8]| {
            let decoded = (sample.format.decode)(bytes);
            decoded.unwrap_or_else(|error| panic!("{}: {error}", sample.name)).text
        };
        assert_eq!(text(&bytes), text(&sample.bytes), "{}", sample.name);
    }
}

#[test]
fn compare_reports_missing_and_changed_fields() {
    let parse = |text: &str| serde_json::from_str::<Value>(text).expect("invalid JSON");
    let broken = |old: &str, new: &str| {
        let mut broken = Vec::new();
        compare(&parse(old), &parse(new), "x", &mut broken);
        broken
    };
    let old = r#"{"a":[{"b":1}],"c":2}"#;
    assert!(broken(old, r#"{"a":[{"b":1,"d":5}],"c":2}"#).is_empty());
    assert_eq!(broken(old, r#"{"a":[{}],"c":2}"#), ["x.a.b is missing"]);
    assert_eq!(broken(old, r#"{"a":[{"b":1}],"c":"2"}"#).len(), 1);
    assert_eq!(broken(old, r#"{"a":[],"c":2}"#).len(), 1);
}

/// Adds what a build that knows `old` can't read in `new` to `broken`. Tuples must keep their lengths.
fn compare(old: &Value, new: &Value, path: &str, broken: &mut Vec<String>) {
    match (old, new) {
        (Value::Map(old), Value::Map(new)) => {
            for (key, value) in old {
                let path = format!("{path}.{}", key_text(key));
                match new.iter().find(|(other, _)| other == key) {
                    Some((_, other)) => compare(value, other, &path, broken),
                    None => broken.push(format!("{path} is missing")),
                }
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (old, new) in old.iter().zip(new) {
                compare(old, new, path, broken);
            }
        }
        _ if old == new => {}
        _ => broken.push(format!("{path} was {old:?} and is {new:?}")),
    }
}

/// Adds an unknown field to each struct; returns their number.
fn add_unknown_fields(value: &mut Value, path: &str, is_struct: bool) -> usize {
    match value {
        Value::Map(fields) => {
            let mut added = 0;
            for (key, value) in fields.iter_mut() {
                let path = format!("{path}.{}", key_text(key));
                // The keys of a map that is no struct name no fields.
                let is_open = is_struct && OPEN_MAPS.iter().any(|end| path.ends_with(end));
                added += add_unknown_fields(value, &path, !is_open);
            }
            if is_struct {
                fields.insert(0, (Value::from(UNKNOWN_FIELD), Value::from(1)));
                added += 1;
            }
            added
        }
        Value::Array(values) => {
            values.iter_mut().map(|value| add_unknown_fields(value, path, is_struct)).sum()
        }
        _ => 0,
    }
}

fn key_text(key: &Value) -> String {
    key.as_text().map_or_else(|| format!("{key:?}"), str::to_owned)
}
