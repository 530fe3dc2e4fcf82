//! Tests for validation, policy inheritance and edits of settings.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use hickorycourse_settings::document::HISTORY_LENGTH;
use hickorycourse_settings::prelude::*;

const SITE: &str = r#"{
  "site": "s",
  "policy": { "queue_limit": 7 },
  "ranks": {
    "urgent": { "urgency": 0, "policy": { "target_first_token_ms": 500 } },
    "later": { "urgency": 1 }
  },
  "services": {
    "desk": {
      "kind": "model", "model": "m", "default_rank": "urgent",
      "policy": { "attempt_limit": 3 },
      "ranks": { "urgent": { "policy": { "target_first_token_ms": 400 } } }
    }
  },
  "upstreams": []
}"#;

fn format_errors(errors: Vec<ValidationError>) -> String {
    errors.iter().map(|error| format!("{error}\n")).collect()
}

#[test]
fn parse_document_invalid_values_reported_with_line_and_path() {
    let text = r#"{
  // A comment counts as a line.
  "site": "bad name",
  "ranks": { "urgent": { "urgency": 0, "policy": { "floor_percent": 200 } } },
  "services": {
    "desk": { "kind": "model", "default_rank": "urgnt" },
    "orders": { "kind": "plain", "path_prefix": "orders", "default_rank": "urgent" }
  },
  "upstreams": [
    { "instance": "e", "service": "dask", "availability_zone": "z",
      "address": "127.0.0.1:1", "concurrency": 0, "machine_class": "on_demand" }
  ]
}"#;
    expect![[r#"
        line 3: site: found `bad name`, allowed are 1 to 64 letters, digits, `-` and `_`
        line 4: ranks.urgent.policy.floor_percent: found 200, allowed is 0 to 100
        line 4: ranks: the sum of floor_percent is 200 percent, allowed is at most 100
        line 6: services.desk.default_rank: found `urgnt`, allowed is one of `urgent`
        line 6: services.desk: kind `model` requires the field `model`
        line 7: services.orders.path_prefix: found `orders`, allowed is a path such as `/orders`
        line 10: upstreams[0].service: found `dask`, allowed is one of `desk`, `orders`
        line 11: upstreams[0].concurrency: found 0, allowed is 1 to 100000
    "#]]
    .assert_eq(&format_errors(parse_document::<Site>(text).unwrap_err()));
}

#[test]
fn parse_document_unreadable_text_reports_first_error() {
    let unknown = SITE.replace("\"queue_limit\"", "\"queue_limits\"");
    let wrong = SITE.replace("\"urgency\": 1", "\"urgency\": \"one\"");
    let syntax = SITE.replace("\"upstreams\": []", "\"upstreams\": [");
    let all = [unknown, wrong, syntax]
        .map(|text| format_errors(parse_document::<Site>(&text).unwrap_err()));
    expect![[r#"
        line 3: policy.queue_limits: unknown field `queue_limits`, expected one of `target_first_token_ms`, `token_timeout_ms`, `first_byte_timeout_ms`, `queue_timeout_ms`, `queue_limit`, `share`, `floor_percent`, `attempt_limit`, `retry_budget_percent`, `answer_token_limit`
        line 6: ranks.later.urgency: invalid type: string "one", expected u8
        line 16: .: not valid JSON: Unexpected close brace
    "#]]
    .assert_eq(&all.concat());
}

#[test]
fn effective_policy_most_specific_level_takes_precedence() {
    let site: Site = parse_document(SITE).unwrap();
    let organisation: Organisation = parse_document(
        r#"{ "organisation": "o", "callers": [], "policy": { "share": 4 },
             "services": { "desk": { "ranks": { "later": { "policy": { "attempt_limit": 9 } } } } } }"#,
    )
    .unwrap();
    let explain = |rank: &str| -> String {
        EffectivePolicy::explain(&site, Some(&organisation), "desk", rank)
            .into_iter()
            .filter(|value| value.source != "default")
            .map(|value| format!("{} {} from {}\n", value.name, value.value, value.source))
            .collect()
    };
    expect![[r#"
        target_first_token_ms 400 from site.services.desk.ranks.urgent
        queue_limit 7 from site
        share 4 from organisation.o
        attempt_limit 3 from site.services.desk
        queue_limit 7 from site
        share 4 from organisation.o
        attempt_limit 9 from organisation.o.services.desk.ranks.later
    "#]]
    .assert_eq(&(explain("urgent") + &explain("later")));
    let policy = EffectivePolicy::resolve(&site, &organisation, "desk", "urgent");
    assert_eq!((policy.target_first_token_ms, policy.share), (400, 4));
}

fn edit(id: &str, read_revision: u64) -> Edit {
    Edit {
        id: id.to_owned(),
        read_revision,
        at_ms: 0,
        operator: "test".to_owned(),
        summary: String::new(),
        text: SITE.to_owned(),
    }
}

#[test]
fn apply_rejects_conflicts_ignores_duplicates_and_limits_history() {
    let name = DocumentName::Site;
    let mut document = Document::apply(None, &name, &edit("c0", 0)).unwrap();
    let conflict = Document::apply(Some(&document), &name, &edit("other", 0));
    assert_eq!(conflict, Err(EditError::Conflict { stored_revision: 1 }));
    let again = Document::apply(Some(&document), &name, &edit("c0", 0)).unwrap();
    assert_eq!(again, document, "an edit with an id from the history must not be applied again");
    for revision in 1..100 {
        let next = edit(&format!("c{revision}"), revision);
        document = Document::apply(Some(&document), &name, &next).unwrap();
    }
    assert_eq!(document.revision, 100);
    assert_eq!(document.changes.len(), HISTORY_LENGTH);
    let bad = Edit { text: "{".to_owned(), ..edit("bad", 100) };
    assert!(matches!(Document::apply(Some(&document), &name, &bad), Err(EditError::Invalid(_))));
}

#[test]
fn parse_document_example_files_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for file in ["pruett.jsonc", "agency.jsonc", "local/tree.jsonc"] {
        let text = std::fs::read_to_string(format!("{root}/{file}")).unwrap();
        let tree = parse_document::<SettingsTree>(&text);
        assert!(tree.is_ok(), "{file}: {}", format_errors(tree.unwrap_err()));
    }
    for file in ["entry.jsonc", "local/entry-a.jsonc", "local/entry-b.jsonc"] {
        let text = std::fs::read_to_string(format!("{root}/{file}")).unwrap();
        let settings = parse_document::<ProcessSettings>(&text);
        assert!(settings.is_ok(), "{file}: {}", format_errors(settings.unwrap_err()));
    }
}

#[test]
fn secret_debug_is_redacted() {
    assert_eq!(format!("{:?}", Secret::new("quiet")), "Secret(..)");
}
