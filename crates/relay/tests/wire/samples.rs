//! Files of samples: a line for each one, with the names of its format and content and its bytes in
//! hexadecimal digits.

use std::collections::BTreeMap;

use super::formats::{FORMATS, Format};

/// What earlier builds have written, by commit, the oldest first.
pub const RECORDED: [(&str, &str); 2] = [
    ("b5291c1", include_str!("../samples/b5291c1.txt")),
    ("aba43bf", include_str!("../samples/aba43bf.txt")),
];

/// The contents in JSON, by format and name.
pub const VALUES: &str = include_str!("../samples/values.json");

/// A recorded sample.
pub struct Sample {
    /// Names of the format and the content.
    pub name: String,
    /// Its format.
    pub format: &'static Format,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Reads a file of samples.
pub fn read_samples(file: &str) -> Vec<Sample> {
    file.lines().map(read_sample).collect()
}

fn read_sample(line: &str) -> Sample {
    let mut words = line.split(' ');
    let (Some(format), Some(content), Some(hex), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        panic!("a line has three words: {line}")
    };
    let format = FORMATS.iter().find(|known| known.name == format).expect("an unknown format");
    let digits = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("not hexadecimal");
    let bytes = (0..hex.len()).step_by(2).map(digits).collect();
    Sample { name: format!("{} {content}", format.name), format, bytes }
}

/// Encodes the contents with this build.
pub fn write_samples() -> String {
    let values: BTreeMap<String, BTreeMap<String, serde_json::Value>> =
        serde_json::from_str(VALUES).expect("the contents are not JSON");
    let mut file = String::new();
    for format in &FORMATS {
        for (name, value) in &values[format.name] {
            let bytes = (format.encode)(value).unwrap_or_else(|error| panic!("{name}: {error}"));
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            file += &format!("{} {name} {hex}\n", format.name);
        }
    }
    file
}
