//! The newest settings that have reached this instance.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hickorycourse_settings::document::{Document, DocumentName};
use hickorycourse_settings::{
    EffectivePolicy, Organisation, Site, hash_key, key_matches, parse_document,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A document with its name, as it travels between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// Its name.
    pub name: DocumentName,
    /// The document.
    pub document: Document,
}

/// A document's name and revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentVersion {
    /// Its name.
    pub name: DocumentName,
    /// Its revision.
    pub revision: u64,
}

/// What became of a document that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Applied,
    /// The same or a newer one is in force already.
    Old,
    /// It is kept and passed on, but can't be read here; the last one stays in force.
    Unreadable(String),
}

/// Who presented a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// The organisation.
    pub organisation: String,
    /// The caller.
    pub caller: String,
    /// The most urgent rank that the caller may ask for.
    pub highest_rank: Option<String>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    key_hash: String,
    identity: Arc<CallerIdentity>,
}

/// The settings in force, ready for use by requests.
#[derive(Clone, Debug, Default)]
pub struct SettingsSnapshot {
    /// The site, once one has arrived.
    pub site: Option<Arc<Site>>,
    /// The organisations.
    pub organisations: BTreeMap<String, Arc<Organisation>>,
    /// Keys by the start of their hash.
    keys: HashMap<String, Vec<Arc<KeyEntry>>>,
    /// Digest of all revisions: the sum of one hash for each document, so that a change costs the
    /// same however many documents there are.
    pub digest: u64,
}

/// Characters of a stored hash that the index uses; the rest is compared in constant time.
const KEY_INDEX_LENGTH: usize = "sha256:".len() + 8;

impl SettingsSnapshot {
    /// Finds out who presents a key.
    pub fn identify(&self, key: &str) -> Option<Arc<CallerIdentity>> {
        let presented = hash_key(key);
        let entries = self.keys.get(index_of(&presented))?;
        let entry = entries.iter().find(|entry| key_matches(&entry.key_hash, &presented))?;
        Some(Arc::clone(&entry.identity))
    }

    /// What holds for a call.
    pub fn policy(&self, organisation: &str, service: &str, rank: &str) -> Option<EffectivePolicy> {
        let site = self.site.as_ref()?;
        let organisation = self.organisations.get(organisation)?;
        Some(EffectivePolicy::resolve(site, organisation, service, rank))
    }

    /// Whether a caller of another organisation has one of this organisation's keys.
    pub fn has_key_of_other(&self, organisation: &Organisation) -> bool {
        let others = self
            .organisations
            .values()
            .filter(|other| other.organisation != organisation.organisation);
        others
            .flat_map(|other| &other.callers)
            .any(|theirs| organisation.callers.iter().any(|own| own.key_hash == theirs.key_hash))
    }

    fn replace_organisation(&mut self, organisation: Arc<Organisation>) {
        let name = organisation.organisation.clone();
        if let Some(last) = self.organisations.get(&name).cloned() {
            last.callers.iter().for_each(|caller| self.forget_key(&name, &caller.key_hash));
        }
        for caller in &organisation.callers {
            let identity = CallerIdentity {
                organisation: name.clone(),
                caller: caller.caller.clone(),
                highest_rank: caller.highest_rank.clone(),
            };
            let key_hash = caller.key_hash.clone();
            let index = index_of(&key_hash).to_owned();
            let entry = KeyEntry { key_hash, identity: Arc::new(identity) };
            self.keys.entry(index).or_default().push(Arc::new(entry));
        }
        self.organisations.insert(name, organisation);
    }

    fn forget_key(&mut self, organisation: &str, key_hash: &str) {
        let Some(entries) = self.keys.get_mut(index_of(key_hash)) else { return };
        entries.retain(|entry| {
            entry.key_hash != key_hash || entry.identity.organisation != organisation
        });
        if entries.is_empty() {
            self.keys.remove(index_of(key_hash));
        }
    }
}

fn index_of(key_hash: &str) -> &str {
    &key_hash[..KEY_INDEX_LENGTH.min(key_hash.len())]
}

/// All documents that have reached this instance.
#[derive(Clone, Debug, Default)]
pub struct SettingsReplica {
    documents: BTreeMap<DocumentName, Document>,
    snapshot: Arc<SettingsSnapshot>,
}

impl SettingsReplica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a document in if its revision is higher than that of the one held.
    pub fn apply(&mut self, name: &DocumentName, document: &Document) -> ApplyOutcome {
        let held_revision = self.documents.get(name).map_or(0, |held| held.revision);
        if document.revision <= held_revision {
            return ApplyOutcome::Old;
        }
        self.documents.insert(name.clone(), document.clone());
        // Requests in flight keep the snapshot that they started with; without any, it is changed
        // in place.
        let snapshot = Arc::make_mut(&mut self.snapshot);
        snapshot.digest = snapshot
            .digest
            .wrapping_sub(hash_version(name, held_revision))
            .wrapping_add(hash_version(name, document.revision));
        match read_into(snapshot, name, &document.text) {
            Ok(()) => ApplyOutcome::Applied,
            Err(fault) => ApplyOutcome::Unreadable(fault),
        }
    }

    /// The settings in force.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Looks up a document.
    pub fn find(&self, name: &DocumentName) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Lists all documents.
    pub fn list(&self) -> Vec<VersionedDocument> {
        let versioned = |(name, document): (&DocumentName, &Document)| VersionedDocument {
            name: name.clone(),
            document: document.clone(),
        };
        self.documents.iter().map(versioned).collect()
    }

    /// Lists the revisions held.
    pub fn list_versions(&self) -> Vec<DocumentVersion> {
        let version = |(name, document): (&DocumentName, &Document)| DocumentVersion {
            name: name.clone(),
            revision: document.revision,
        };
        self.documents.iter().map(version).collect()
    }

    /// Lists the documents that are newer here than what another holds.
    pub fn list_newer_than(&self, versions: &[DocumentVersion]) -> Vec<VersionedDocument> {
        let mut newer = self.list();
        newer.retain(|held| {
            let theirs = versions.iter().find(|version| version.name == held.name);
            theirs.map_or(0, |version| version.revision) < held.document.revision
        });
        newer
    }

    /// Whether another holds something newer.
    pub fn is_behind(&self, versions: &[DocumentVersion]) -> bool {
        versions.iter().any(|version| {
            let held = self.documents.get(&version.name);
            held.map_or(0, |document| document.revision) < version.revision
        })
    }
}

/// A document that is not held has revision 0 and counts for nothing.
fn hash_version(name: &DocumentName, revision: u64) -> u64 {
    match revision {
        0 => 0,
        _ => xxh3_64(format!("{name}={revision}").as_bytes()),
    }
}

fn read_into(
    snapshot: &mut SettingsSnapshot,
    name: &DocumentName,
    text: &str,
) -> Result<(), String> {
    let describe = |faults: Vec<hickorycourse_settings::ValidationError>| {
        faults.first().map(ToString::to_string).unwrap_or_default()
    };
    match name {
        DocumentName::Site => {
            let site = parse_document::<Site>(text).map_err(describe)?;
            snapshot.site = Some(Arc::new(site));
        }
        DocumentName::Organisation(organisation) => {
            let settings = parse_document::<Organisation>(text).map_err(describe)?;
            debug_assert_eq!(&settings.organisation, organisation);
            snapshot.replace_organisation(Arc::new(settings));
        }
    }
    Ok(())
}
