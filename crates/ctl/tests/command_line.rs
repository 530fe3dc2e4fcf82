//! Runs `hickoryctl` against a fleet of real processes.

#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, OPERATOR_KEY, poll_until};
use hickorycourse_testkit::prelude::*;
use hickorycourse_testkit::process::binary_dir;

fn hickoryctl(fleet: Option<&Fleet>, arguments: &[&str]) -> Output {
    let mut command = Command::new(binary_dir().join("hickoryctl"));
    if let Some(fleet) = fleet {
        let address = fleet.entries[0].operator_address.to_string();
        command.args(["--address", &address, "--key", OPERATOR_KEY]);
    }
    command.args(arguments).output().unwrap()
}

fn output_text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Guards against scripts mistaking a failure for success: invalid files exit with 2, an unreachable entry
/// with 1.
#[test]
fn command_failures_have_exit_codes() {
    assert_eq!(hickoryctl(None, &["--version"]).status.code(), Some(0));
    assert_eq!(hickoryctl(None, &["--help"]).status.code(), Some(0));
    assert_eq!(hickoryctl(None, &["key", "hash", "k"]).status.code(), Some(0));
    assert_ne!(hickoryctl(None, &["nonsense"]).status.code(), Some(0));
    let missing = hickoryctl(None, &["settings", "check", "no-such-file"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(output_text(&missing).contains("[5006]"), "{}", output_text(&missing));
    let dir = std::env::temp_dir().join(format!("hickoryctl-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("bad.jsonc");
    std::fs::write(&file, "{ \"site\": {},\n \"organisations\": [] }").unwrap();
    let bad = hickoryctl(None, &["settings", "check", &file.display().to_string()]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        output_text(&bad).contains("[5001]") && output_text(&bad).contains("line 1"),
        "{}",
        output_text(&bad)
    );
    let unreachable = hickoryctl(None, &["--address", "127.0.0.1:1", "status"]);
    assert_eq!(unreachable.status.code(), Some(1));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Renders the deployment template with sample values, as the platform does.
fn render_template() -> String {
    let template = include_str!("../../../deploy/relay.jsonc");
    let sample = |name: &str| match name {
        "nodeName|json" => "\"edge-1\"",
        "zone|json" => "\"east\"",
        "listenAddrs.frontend|json" => "\"127.0.0.1:7000\"",
        "listenAddrs.ready|json" => "\"127.0.0.1:7001\"",
        "platform.address|json" | "cloudApi.address|json" => "\"127.0.0.1:7002\"",
        "cloudApi.duties|json" => "[\"usage\", \"capacity\"]",
        "ipAddress" => "127.0.0.1",
        "bounds.strictRevocation" => "true",
        "limits.memoryMb" => "160",
        "limits.maxFds" => "4100",
        "#cloudApi.address" | "/cloudApi.address" | "#limits.memoryMb" | "/limits.memoryMb" => "",
        _ => "5",
    };
    let mut rendered = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap();
        rendered.push_str(before);
        rendered.push_str(sample(name));
        rest = after;
    }
    rendered + rest
}

/// Guards against the deployment template and the relay's settings drifting apart, and against `check`
/// accepting invalid values or unknown fields.
#[test]
fn check_accepts_relay_template_and_rejects_invalid_fields() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("relay.jsonc");
    let check = || hickoryctl(None, &["settings", "check", &file.display().to_string()]);
    std::fs::write(&file, render_template()).unwrap();
    assert_eq!(check().status.code(), Some(0), "{}", output_text(&check()));
    let bad = render_template().replace("\"usage_window_ms\": 5000", "\"usage_window_ms\": 0");
    std::fs::write(&file, bad).unwrap();
    let bad = check();
    assert_eq!(bad.status.code(), Some(2));
    assert!(output_text(&bad).contains("bounds.usage_window_ms"), "{}", output_text(&bad));
    let unknown = render_template().replace("\"worker_threads\"", "\"workers\"");
    std::fs::write(&file, unknown).unwrap();
    assert!(output_text(&check()).contains("workers"), "{}", output_text(&check()));
}

/// Guards against lost updates of settings, documents that lose their comments, and usage or bills that
/// omit an entry's calls.
#[test]
fn settings_keep_comments_and_bill_covers_all_entries() {
    let fleet = FleetBuilder::new().with_timing(json!({ "usage_flush_ms": 100 })).start();
    let mut value = Fleet::build_organisation_settings("dealers", "dealer-1", DEALER_KEY);
    value["policy"] = json!({ "share": 9 });
    let file = fleet.log_dir.join("dealers.jsonc");
    std::fs::write(&file, format!("// New share.\n{value:#}\n")).unwrap();
    let file = file.display().to_string();
    let name = "organisation/dealers";
    let diff = hickoryctl(Some(&fleet), &["settings", "diff", name, &file]);
    assert!(output_text(&diff).contains("+    \"share\": 9"), "{}", output_text(&diff));
    let set = ["settings", "set", "--wait", "--summary", "more", name, &file];
    let output = hickoryctl(Some(&fleet), &set);
    assert!(
        output.status.success() && output_text(&output).contains("revision 2"),
        "{}",
        output_text(&output)
    );
    assert!(output_text(&output).matches("true").count() >= 4, "{}", output_text(&output));
    let stale = hickoryctl(Some(&fleet), &["settings", "set", "--revision", "1", name, &file]);
    assert_eq!(stale.status.code(), Some(1));
    assert!(output_text(&stale).contains("[5002]"), "{}", output_text(&stale));
    let document = output_text(&hickoryctl(Some(&fleet), &["settings", "get", name]));
    assert!(document.starts_with("// New share."), "comments are kept: {document}");
    let history = output_text(&hickoryctl(Some(&fleet), &["settings", "history", name]));
    assert!(history.contains("more") && history.contains("a test"), "{history}");
    let show = ["settings", "show", "--effective", "dealers", "desk", "urgent"];
    let shown = output_text(&hickoryctl(Some(&fleet), &show));
    assert!(shown.contains("organisation.dealers") && shown.contains("default"), "{shown}");
    for entry in &fleet.entries {
        assert_eq!(entry.chat(&chat_body(MODEL, "bill", 5, false)).status, 200);
    }
    poll_until("usage of both entries", || {
        output_text(&hickoryctl(Some(&fleet), &["usage", "--csv"]))
            .contains("dealers,dealer-1,desk,urgent,2,")
    });
    let bill = output_text(&hickoryctl(Some(&fleet), &["bill", "--cents", "101", "--csv"]));
    assert!(bill.contains("dealers,") && bill.contains(",1.01"), "{bill}");
    assert!(hickoryctl(Some(&fleet), &["status"]).status.success());
}
