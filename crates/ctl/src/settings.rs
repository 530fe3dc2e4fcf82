//! The command `hickoryctl settings`.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use hickorycourse_clock::sleep;
use hickorycourse_relay::RelaySettings;
use hickorycourse_settings::document::{Document, DocumentName, Edit, to_document_text};
use hickorycourse_settings::{
    EffectivePolicy, Organisation, ProcessSettings, SettingsTree, Site, ValidationError,
    parse_document,
};
use serde_json::Value;

use crate::client::OperatorClient;
use crate::output::{CommandError, print_table};

/// Read and change the settings tree. The NAME of a document is `site`, or `organisation/` and the
/// organisation's name, such as `organisation/dealers`.
#[derive(Bpaf, Clone, Debug)]
pub enum SettingsCommand {
    /// List the documents with their revisions in force on the entry
    #[bpaf(command)]
    List,
    /// Print a document as written, with its comments
    #[bpaf(command)]
    Get {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
    },
    /// Replace a document; fails if it has changed since the given revision
    #[bpaf(command)]
    Set {
        /// Revision that the change is based on; the one in force if left out
        #[bpaf(argument("REVISION"))]
        revision: Option<u64>,
        /// Idempotency id of the change; repeat it to retry a change whose response was lost
        #[bpaf(argument("ID"))]
        change_id: Option<String>,
        /// Description of the change for the history
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        summary: String,
        /// Wait up to 30 s until the change is in force on every entry, then print a row per entry
        wait: bool,
        #[bpaf(positional("NAME"))]
        name: DocumentName,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Replace all documents of a tree file: the site first, then each organisation
    #[bpaf(command)]
    Load {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the differences between a document and a file
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the recent changes of a document
    #[bpaf(command)]
    History {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
    },
    /// Validate a file offline: a tree, a site, an organisation or the settings of an entry or a relay
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the effective policy of an organisation, service and rank, with the source of each value
    #[bpaf(command)]
    Show {
        /// Print inherited values and defaults too
        effective: bool,
        /// Settings tree to evaluate; the entry's if left out
        #[bpaf(argument("FILE"))]
        file: Option<PathBuf>,
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("RANK"))]
        rank: String,
    },
}

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Executes a settings command and prints the result.
pub async fn run(client: &OperatorClient, command: SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::List => list(client).await,
        SettingsCommand::Get { name } => {
            print!("{}", get(client, &name).await?.text);
            Ok(())
        }
        SettingsCommand::Set { revision, change_id, summary, wait, name, file } => {
            let text = read_file(&file)?;
            let read_revision = match revision {
                Some(revision) => revision,
                None => find_revision(client, &name).await?,
            };
            let change_id = change_id.unwrap_or_else(generate_change_id);
            let edit = make_edit(change_id, read_revision, summary, text);
            let document = set(client, &name, &edit).await?;
            if wait { wait_until_in_force(client, &name, document.revision).await } else { Ok(()) }
        }
        SettingsCommand::Load { file } => load(client, &file).await,
        SettingsCommand::Diff { name, file } => diff(client, &name, &file).await,
        SettingsCommand::History { name } => history(client, &name).await,
        SettingsCommand::Check { file } => check(&file),
        SettingsCommand::Show { effective, file, organisation, service, rank } => {
            let tree = match file {
                Some(file) => read_tree(&file)?,
                None => fetch_tree(client, &organisation).await?,
            };
            show(&tree, &organisation, &service, &rank, effective)
        }
    }
}

async fn list(client: &OperatorClient) -> Result<(), CommandError> {
    let status: Value = client.get("/v1/in-force").await?;
    let rows: Vec<Vec<String>> = status["settings"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|version| {
            vec![format_document_name(&version["name"]), version["revision"].to_string()]
        })
        .collect();
    print_table(&["NAME", "REVISION"], &rows, false);
    Ok(())
}

fn format_document_name(name: &Value) -> String {
    match serde_json::from_value::<DocumentName>(name.clone()) {
        Ok(name) => name.to_string(),
        Err(_) => name.to_string(),
    }
}

async fn get(client: &OperatorClient, name: &DocumentName) -> Result<Document, CommandError> {
    client.get(&format!("/v1/settings/{name}")).await
}

/// The document's revision in force on the entry; 0 if the document doesn't exist.
async fn find_revision(client: &OperatorClient, name: &DocumentName) -> Result<u64, CommandError> {
    let status: Value = client.get("/v1/in-force").await?;
    let name_text = name.to_string();
    let versions = status["settings"].as_array().into_iter().flatten();
    let found =
        versions.into_iter().find(|version| format_document_name(&version["name"]) == name_text);
    Ok(found.and_then(|version| version["revision"].as_u64()).unwrap_or(0))
}

fn make_edit(id: String, read_revision: u64, summary: String, text: String) -> Edit {
    let at_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let operator = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    Edit { id, read_revision, at_ms, operator, summary, text }
}

fn generate_change_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn set(
    client: &OperatorClient,
    name: &DocumentName,
    edit: &Edit,
) -> Result<Document, CommandError> {
    let path = format!("/v1/settings/{name}");
    let result: Result<Document, CommandError> = client.put(&path, edit).await;
    match result {
        Ok(document) => {
            println!("{name} has revision {} (change {}).", document.revision, edit.id);
            Ok(document)
        }
        Err(error) => Err(CommandError::Request(format!("{error}\nchange id {}", edit.id))),
    }
}

async fn load(client: &OperatorClient, file: &Path) -> Result<(), CommandError> {
    let tree = read_tree(file)?;
    let summary = format!("loaded from {}", file.display());
    let mut parts = vec![(DocumentName::Site, to_document_text(&tree.site))];
    for organisation in &tree.organisations {
        let name = DocumentName::Organisation(organisation.organisation.clone());
        parts.push((name, to_document_text(organisation)));
    }
    for (name, text) in parts {
        let revision = find_revision(client, &name).await?;
        let edit = make_edit(generate_change_id(), revision, summary.clone(), text);
        set(client, &name, &edit).await?;
    }
    Ok(())
}

async fn diff(
    client: &OperatorClient,
    name: &DocumentName,
    file: &Path,
) -> Result<(), CommandError> {
    let document = get(client, name).await?;
    let text = read_file(file)?;
    let difference = similar::TextDiff::from_lines(&document.text, &text);
    let from = format!("{name} revision {}", document.revision);
    print!("{}", difference.unified_diff().header(&from, &file.display().to_string()));
    Ok(())
}

async fn history(client: &OperatorClient, name: &DocumentName) -> Result<(), CommandError> {
    let document = get(client, name).await?;
    let rows: Vec<Vec<String>> = document
        .changes
        .iter()
        .map(|change| {
            vec![
                change.revision.to_string(),
                change.at_ms.to_string(),
                change.operator.clone(),
                change.id.clone(),
                change.summary.clone(),
            ]
        })
        .collect();
    print_table(&["REVISION", "AT_MS", "OPERATOR", "CHANGE", "SUMMARY"], &rows, false);
    Ok(())
}

async fn wait_until_in_force(
    client: &OperatorClient,
    name: &DocumentName,
    revision: u64,
) -> Result<(), CommandError> {
    let started = Instant::now();
    loop {
        let status: Value = client.get("/v1/in-force").await?;
        let is_local_in_force = find_revision(client, name).await? >= revision;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let pending = members.iter().filter(|member| member["is_in_force"] != true).count();
        let is_timed_out = started.elapsed() > IN_FORCE_TIMEOUT;
        if (is_local_in_force && pending == 0) || is_timed_out {
            print_in_force(&status, &members, is_local_in_force, started);
            return match is_timed_out {
                true => Err(CommandError::Request(
                    "Timed out after 30 s: the change is not in force on every entry.".to_owned(),
                )),
                false => Ok(()),
            };
        }
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

fn print_in_force(status: &Value, members: &[Value], is_local_in_force: bool, started: Instant) {
    let own = vec![
        status["instance"].as_str().unwrap_or("").to_owned(),
        "true".to_owned(),
        is_local_in_force.to_string(),
    ];
    let mut rows = vec![own];
    rows.extend(members.iter().map(|member| {
        vec![
            member["instance"].as_str().unwrap_or("").to_owned(),
            member["is_reachable"].to_string(),
            member["is_in_force"].to_string(),
        ]
    }));
    print_table(&["ENTRY", "REACHABLE", "IN FORCE"], &rows, false);
    println!("after {} ms", started.elapsed().as_millis());
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        CommandError::Usage(format!("[5006] cannot read {}: {error}", path.display()))
    })
}

fn to_usage_error(path: &Path, errors: &[ValidationError]) -> CommandError {
    let lines: Vec<String> =
        errors.iter().map(|error| format!("[5001] {}: {error}", path.display())).collect();
    CommandError::Usage(lines.join("\n"))
}

fn read_tree(path: &Path) -> Result<SettingsTree, CommandError> {
    parse_document(&read_file(path)?).map_err(|errors| to_usage_error(path, &errors))
}

/// Validates a file. Its kind is detected from the fields that its text contains.
pub fn check(path: &Path) -> Result<(), CommandError> {
    let text = read_file(path)?;
    let result = match detect_kind(&text) {
        FileKind::Tree => parse_document::<SettingsTree>(&text).map(|_| ()),
        FileKind::Site => parse_document::<Site>(&text).map(|_| ()),
        FileKind::Organisation => parse_document::<Organisation>(&text).map(|_| ()),
        FileKind::Process => parse_document::<ProcessSettings>(&text).map(|_| ()),
        FileKind::Relay => parse_document::<RelaySettings>(&text).map(|_| ()),
    };
    result.map_err(|errors| to_usage_error(path, &errors))?;
    println!("{} is valid.", path.display());
    Ok(())
}

enum FileKind {
    Tree,
    Site,
    Organisation,
    Process,
    Relay,
}

fn detect_kind(text: &str) -> FileKind {
    let has_field = |field: &str| text.contains(&format!("\"{field}\""));
    if has_field("store_address") {
        return FileKind::Relay;
    }
    if has_field("caller_address") {
        return FileKind::Process;
    }
    if has_field("organisations") {
        return FileKind::Tree;
    }
    if has_field("organisation") && !has_field("upstreams") {
        return FileKind::Organisation;
    }
    if has_field("ranks")
        && has_field("upstreams")
        && !has_field("organisation")
        && text.contains("\"site\": \"")
    {
        return FileKind::Site;
    }
    FileKind::Tree
}

async fn fetch_tree(
    client: &OperatorClient,
    organisation: &str,
) -> Result<SettingsTree, CommandError> {
    let site = get(client, &DocumentName::Site).await?;
    let name = DocumentName::Organisation(organisation.to_owned());
    let organisation = get(client, &name).await?;
    let invalid_document =
        |errors: Vec<ValidationError>| CommandError::Request(errors[0].to_string());
    Ok(SettingsTree {
        site: parse_document(&site.text).map_err(invalid_document)?,
        organisations: vec![parse_document(&organisation.text).map_err(invalid_document)?],
    })
}

fn show(
    tree: &SettingsTree,
    organisation: &str,
    service: &str,
    rank: &str,
    effective: bool,
) -> Result<(), CommandError> {
    let policy_owner =
        tree.organisations.iter().find(|candidate| candidate.organisation == organisation);
    let Some(policy_owner) = policy_owner else {
        return Err(CommandError::Usage(format!("[5005] Unknown organisation `{organisation}`.")));
    };
    let site = &tree.site;
    if !site.services.contains_key(service) || !site.ranks.contains_key(rank) {
        let detail = format!("[5005] Unknown service `{service}` or rank `{rank}`.");
        return Err(CommandError::Usage(detail));
    }
    let source_prefix = format!("organisation.{organisation}");
    let rows: Vec<Vec<String>> = EffectivePolicy::explain(site, Some(policy_owner), service, rank)
        .into_iter()
        .filter(|value| effective || value.source.starts_with(&source_prefix))
        .map(|value| vec![value.name.to_owned(), value.value.to_string(), value.source])
        .collect();
    print_table(&["VALUE", "IS", "FROM"], &rows, false);
    Ok(())
}
