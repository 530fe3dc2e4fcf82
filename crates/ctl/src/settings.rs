//! `hickoryctl settings`.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use hickorycourse_relay::RelaySettings;
use hickorycourse_settings::document::{Document, DocumentName, Edit, to_document_text};
use hickorycourse_settings::{
    EffectivePolicy, Organisation, ProcessSettings, SettingsTree, Site, ValidationError,
    parse_document,
};
use ntex::time::sleep;
use serde_json::Value;

use crate::client::OperatorClient;
use crate::output::{Failure, print_table};

/// The settings tree. A NAME is `site` or `organisation/NAME`.
#[derive(Bpaf, Clone, Debug)]
pub enum SettingsCommand {
    /// List the documents and their revisions
    #[bpaf(command)]
    List,
    /// Print a document as its operators wrote it
    #[bpaf(command)]
    Get {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
    },
    /// Replace a document, if nobody has changed it since it was read
    #[bpaf(command)]
    Set {
        /// The revision that was read; the one in force now if left out
        #[bpaf(argument("REVISION"))]
        revision: Option<u64>,
        /// The id of the change; give the same again to learn the outcome of a lost answer
        #[bpaf(argument("ID"))]
        change_id: Option<String>,
        /// A sentence for the history
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        summary: String,
        /// Wait until it is in force on every entry, and say so for each
        wait: bool,
        #[bpaf(positional("NAME"))]
        name: DocumentName,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Write a whole tree: the site first, then each organisation
    #[bpaf(command)]
    Load {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compare a document with a file
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the last changes of a document
    #[bpaf(command)]
    History {
        #[bpaf(positional("NAME"))]
        name: DocumentName,
    },
    /// Check a file: a tree, a site, an organisation or the settings of an entry or a relay
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print what holds for an organisation, service and rank, and where each value comes from
    #[bpaf(command)]
    Show {
        /// Print inherited values too, with the level that named each
        effective: bool,
        /// A tree to look into; that of the entry if left out
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

const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Runs the command.
pub async fn run(client: &OperatorClient, command: SettingsCommand) -> Result<(), Failure> {
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
            let change_id = change_id.unwrap_or_else(draw_change_id);
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

async fn list(client: &OperatorClient) -> Result<(), Failure> {
    let status: Value = client.get("/v1/in-force").await?;
    let rows: Vec<Vec<String>> = status["settings"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|version| vec![describe_name(&version["name"]), version["revision"].to_string()])
        .collect();
    print_table(&["NAME", "REVISION"], &rows, false);
    Ok(())
}

fn describe_name(name: &Value) -> String {
    match serde_json::from_value::<DocumentName>(name.clone()) {
        Ok(name) => name.to_string(),
        Err(_) => name.to_string(),
    }
}

async fn get(client: &OperatorClient, name: &DocumentName) -> Result<Document, Failure> {
    client.get(&format!("/v1/settings/{name}")).await
}

/// The revision in force, 0 for a document that doesn't exist yet.
async fn find_revision(client: &OperatorClient, name: &DocumentName) -> Result<u64, Failure> {
    let status: Value = client.get("/v1/in-force").await?;
    let wanted = name.to_string();
    let versions = status["settings"].as_array().into_iter().flatten();
    let found = versions.into_iter().find(|version| describe_name(&version["name"]) == wanted);
    Ok(found.and_then(|version| version["revision"].as_u64()).unwrap_or(0))
}

fn make_edit(id: String, read_revision: u64, summary: String, text: String) -> Edit {
    let at_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let operator = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    Edit { id, read_revision, at_ms, operator, summary, text }
}

fn draw_change_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn set(
    client: &OperatorClient,
    name: &DocumentName,
    edit: &Edit,
) -> Result<Document, Failure> {
    let path = format!("/v1/settings/{name}");
    let result: Result<Document, Failure> = client.put(&path, edit).await;
    match result {
        Ok(document) => {
            println!("{name} has revision {} (change {}).", document.revision, edit.id);
            Ok(document)
        }
        Err(failure) => Err(Failure::Answer(format!("{failure}\nchange id {}", edit.id))),
    }
}

async fn load(client: &OperatorClient, file: &Path) -> Result<(), Failure> {
    let tree = read_tree(file)?;
    let summary = format!("loaded from {}", file.display());
    let mut parts = vec![(DocumentName::Site, to_document_text(&tree.site))];
    for organisation in &tree.organisations {
        let name = DocumentName::Organisation(organisation.organisation.clone());
        parts.push((name, to_document_text(organisation)));
    }
    for (name, text) in parts {
        let revision = find_revision(client, &name).await?;
        let edit = make_edit(draw_change_id(), revision, summary.clone(), text);
        set(client, &name, &edit).await?;
    }
    Ok(())
}

async fn diff(client: &OperatorClient, name: &DocumentName, file: &Path) -> Result<(), Failure> {
    let document = get(client, name).await?;
    let text = read_file(file)?;
    let difference = similar::TextDiff::from_lines(&document.text, &text);
    let from = format!("{name} revision {}", document.revision);
    print!("{}", difference.unified_diff().header(&from, &file.display().to_string()));
    Ok(())
}

async fn history(client: &OperatorClient, name: &DocumentName) -> Result<(), Failure> {
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
) -> Result<(), Failure> {
    let started = Instant::now();
    loop {
        let status: Value = client.get("/v1/in-force").await?;
        let is_own = find_revision(client, name).await? >= revision;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let missing = members.iter().filter(|member| member["is_in_force"] != true).count();
        let is_over = started.elapsed() > WAIT_LIMIT;
        if (is_own && missing == 0) || is_over {
            print_in_force(&status, &members, is_own, started);
            return match is_over {
                true => Err(Failure::Answer("It is not in force everywhere.".to_owned())),
                false => Ok(()),
            };
        }
        sleep(WAIT_POLL).await;
    }
}

fn print_in_force(status: &Value, members: &[Value], is_own: bool, started: Instant) {
    let own = vec![
        status["instance"].as_str().unwrap_or("").to_owned(),
        "true".to_owned(),
        is_own.to_string(),
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

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|error| Failure::Usage(format!("[5006] {}: {error}", path.display())))
}

fn describe_faults(path: &Path, faults: &[ValidationError]) -> Failure {
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("[5001] {}: {fault}", path.display())).collect();
    Failure::Usage(lines.join("\n"))
}

fn read_tree(path: &Path) -> Result<SettingsTree, Failure> {
    parse_document(&read_file(path)?).map_err(|faults| describe_faults(path, &faults))
}

/// Checks a file by the kind that its fields show it to be.
pub fn check(path: &Path) -> Result<(), Failure> {
    let text = read_file(path)?;
    let result = match guess_kind(&text) {
        FileKind::Tree => parse_document::<SettingsTree>(&text).map(|_| ()),
        FileKind::Site => parse_document::<Site>(&text).map(|_| ()),
        FileKind::Organisation => parse_document::<Organisation>(&text).map(|_| ()),
        FileKind::Process => parse_document::<ProcessSettings>(&text).map(|_| ()),
        FileKind::Relay => parse_document::<RelaySettings>(&text).map(|_| ()),
    };
    result.map_err(|faults| describe_faults(path, &faults))?;
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

fn guess_kind(text: &str) -> FileKind {
    let has = |field: &str| text.contains(&format!("\"{field}\""));
    if has("store_address") {
        return FileKind::Relay;
    }
    if has("caller_address") {
        return FileKind::Process;
    }
    if has("organisations") {
        return FileKind::Tree;
    }
    if has("organisation") && !has("upstreams") {
        return FileKind::Organisation;
    }
    if has("ranks") && has("upstreams") && !has("organisation") && text.contains("\"site\": \"") {
        return FileKind::Site;
    }
    FileKind::Tree
}

async fn fetch_tree(client: &OperatorClient, organisation: &str) -> Result<SettingsTree, Failure> {
    let site = get(client, &DocumentName::Site).await?;
    let name = DocumentName::Organisation(organisation.to_owned());
    let organisation = get(client, &name).await?;
    let unreadable = |faults: Vec<ValidationError>| Failure::Answer(faults[0].to_string());
    Ok(SettingsTree {
        site: parse_document(&site.text).map_err(unreadable)?,
        organisations: vec![parse_document(&organisation.text).map_err(unreadable)?],
    })
}

fn show(
    tree: &SettingsTree,
    organisation: &str,
    service: &str,
    rank: &str,
    effective: bool,
) -> Result<(), Failure> {
    let found = tree.organisations.iter().find(|known| known.organisation == organisation);
    let Some(found) = found else {
        return Err(Failure::Usage(format!("[5005] There is no organisation `{organisation}`.")));
    };
    let site = &tree.site;
    if !site.services.contains_key(service) || !site.ranks.contains_key(rank) {
        let detail = format!("[5005] There is no service `{service}` with a rank `{rank}`.");
        return Err(Failure::Usage(detail));
    }
    let own = format!("organisation.{organisation}");
    let rows: Vec<Vec<String>> = EffectivePolicy::explain(site, Some(found), service, rank)
        .into_iter()
        .filter(|value| effective || value.source.starts_with(&own))
        .map(|value| vec![value.name.to_owned(), value.value.to_string(), value.source])
        .collect();
    print_table(&["VALUE", "IS", "FROM"], &rows, false);
    Ok(())
}
