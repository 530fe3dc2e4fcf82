//! Old and new builds side by side: what earlier builds have written is read by this one, and they can
//! read what it writes. They ignore fields that they don't know, so fields may be added; all others
//! keep their names, types and meanings.
//!
//! With each release, record the samples of its build:
//! `cargo test -p hickorycourse_relay --test wire -- --ignored --nocapture print_samples`

mod compatibility;
mod formats;
mod samples;
mod values;

use hickorycourse_relay::wire::Message;
use samples::{read_samples, write_samples};

#[test]
#[ignore = "prints the samples of this build"]
fn print_samples() {
    println!("{}", write_samples());
}

/// A message without a content in `samples/values.json` would not be compared with the next build.
#[test]
fn contents_each_message_listed() {
    let unknown = ciborium::Value::Map(vec![("Unknown".into(), ciborium::Value::Null)]);
    let error = unknown.deserialized::<Message>().expect_err("a message is unknown").to_string();
    let (_, expected) = error.split_once("expected one of ").expect("the messages are not named");
    let messages: Vec<&str> = expected.split('`').skip(1).step_by(2).collect();
    let written = read_samples(&write_samples());
    for message in &messages {
        let is_listed =
            written.iter().filter(|sample| sample.format.name == "message").any(|sample| {
                let content = sample.format.parse(&sample.bytes).expect("a sample is invalid");
                content.as_map().is_some_and(|map| map[0].0.as_text() == Some(message))
            });
        assert!(is_listed, "no content for `{message}`");
    }
    assert!(messages.len() >= 13, "{messages:?}");
}
