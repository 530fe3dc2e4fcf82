//! The newest settings that this entry has received.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hickorycourse_settings::document::{Document, DocumentName};
use hickorycourse_settings::{
    EffectivePolicy, Organisation, Site, hash_key, key_matches, parse_document,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A settings document with its name, as sent between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The name of the document.
    pub name: DocumentName,
    /// The document.
    pub document: Document,
}

/// The name and revision of a settings document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentVersion {
    /// The name of the document.
    pub name: DocumentName,
    /// The revision of the document; revisions start at 1.
    pub revision: u64,
}

/// The outcome of applying a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The document is in force.
    Applied,
    /// The replica already holds the same or a newer revision.
    Stale,
    /// The document is stored and can be forwarded to peers, but it failed to parse with this
    /// error; the previous revision stays in force.
    Unreadable(String),
}

/// The caller that an API key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// The organisation of the caller.
    pub organisation: String,
    /// The name of the caller within the organisation.
    pub caller: String,
    /// The most urgent rank that the caller may request; `None` if it is not restricted.
    pub highest_rank: Option<String>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    key_hash: String,
    identity: Arc<CallerIdentity>,
}

/// The parsed settings in force, indexed for lookups on the request path.
#[derive(Clone, Debug, Default)]
pub struct SettingsSnapshot {
    /// The site settings; `None` until the first site document is received.
    pub site: Option<Arc<Site>>,
    /// The settings of the organisations, by name.
    pub organisations: BTreeMap<String, Arc<Organisation>>,
    /// API keys, by the first [`KEY_INDEX_BYTES`] of their hash.
    keys: HashMap<String, Vec<Arc<KeyEntry>>>,
    /// Digest of all revisions: the wrapping sum of one hash per document, so that updating it
    /// takes constant time regardless of the number of documents.
    pub digest: u64,
}

/// Length of the prefix of a key's hash by which keys are indexed. Hashes with the same prefix are
/// then compared as a whole, in constant time.
const KEY_INDEX_BYTES: usize = "sha256:".len() + 8;

impl SettingsSnapshot {
    /// Returns the caller that an API key belongs to, or `None` if the key is unknown.
    pub fn identify(&self, key: &str) -> Option<Arc<CallerIdentity>> {
        let presented = hash_key(key);
        let entries = self.keys.get(key_index(&presented))?;
        let entry = entries.iter().find(|entry| key_matches(&entry.key_hash, &presented))?;
        Some(Arc::clone(&entry.identity))
    }

    /// Returns the policy for a call, or `None` if the site settings have not been received or the
    /// organisation is unknown.
    pub fn policy(&self, organisation: &str, service: &str, rank: &str) -> Option<EffectivePolicy> {
        let site = self.site.as_ref()?;
        let organisation = self.organisations.get(organisation)?;
        Some(EffectivePolicy::resolve(site, organisation, service, rank))
    }

    /// Whether a caller of another organisation has the same key as one of this organisation's
    /// callers.
    pub fn shares_key_with_other(&self, organisation: &Organisation) -> bool {
        let others = self
            .organisations
            .values()
            .filter(|other| other.organisation != organisation.organisation);
        others
            .flat_map(|other| &other.callers)
            .any(|other| organisation.callers.iter().any(|own| own.key_hash == other.key_hash))
    }

    fn replace_organisation(&mut self, organisation: Arc<Organisation>) {
        let name = organisation.organisation.clone();
        if let Some(previous) = self.organisations.get(&name).cloned() {
            previous.callers.iter().for_each(|caller| self.remove_key(&name, &caller.key_hash));
        }
        for caller in &organisation.callers {
            let identity = CallerIdentity {
                organisation: name.clone(),
                caller: caller.caller.clone(),
                highest_rank: caller.highest_rank.clone(),
            };
            let key_hash = caller.key_hash.clone();
            let index = key_index(&key_hash).to_owned();
            let entry = KeyEntry { key_hash, identity: Arc::new(identity) };
            self.keys.entry(index).or_default().push(Arc::new(entry));
        }
        self.organisations.insert(name, organisation);
    }

    fn remove_key(&mut self, organisation: &str, key_hash: &str) {
        let Some(entries) = self.keys.get_mut(key_index(key_hash)) else { return };
        entries.retain(|entry| {
            entry.key_hash != key_hash || entry.identity.organisation != organisation
        });
        if entries.is_empty() {
            self.keys.remove(key_index(key_hash));
        }
    }
}

fn key_index(key_hash: &str) -> &str {
    &key_hash[..KEY_INDEX_BYTES.min(key_hash.len())]
}

/// The newest revision of each settings document that this entry has received.
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

    /// Applies a document if its revision is higher than that of the one held.
    pub fn apply(&mut self, name: &DocumentName, document: &Document) -> ApplyOutcome {
        let held_revision = self.documents.get(name).map_or(0, |held| held.revision);
        if document.revision <= held_revision {
            return ApplyOutcome::Stale;
        }
        self.documents.insert(name.clone(), document.clone());
        // Copy on write: requests in flight keep the snapshot that they started with. If there are
        // none, the snapshot is modified in place.
        let snapshot = Arc::make_mut(&mut self.snapshot);
        snapshot.digest = snapshot
            .digest
            .wrapping_sub(hash_version(name, held_revision))
            .wrapping_add(hash_version(name, document.revision));
        match parse_into(snapshot, name, &document.text) {
            Ok(()) => ApplyOutcome::Applied,
            Err(error) => ApplyOutcome::Unreadable(error),
        }
    }

    /// Returns the settings in force. Later changes do not affect the returned snapshot.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns the document with this name.
    pub fn find(&self, name: &DocumentName) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Returns all documents, ordered by name.
    pub fn list(&self) -> Vec<VersionedDocument> {
        let versioned = |(name, document): (&DocumentName, &Document)| VersionedDocument {
            name: name.clone(),
            document: document.clone(),
        };
        self.documents.iter().map(versioned).collect()
    }

    /// Returns the name and revision of each document, ordered by name.
    pub fn list_versions(&self) -> Vec<DocumentVersion> {
        let version = |(name, document): (&DocumentName, &Document)| DocumentVersion {
            name: name.clone(),
            revision: document.revision,
        };
        self.documents.iter().map(version).collect()
    }

    /// Returns the documents that are newer than, or missing from, the given versions of a peer.
    pub fn list_newer_than(&self, versions: &[DocumentVersion]) -> Vec<VersionedDocument> {
        let mut newer = self.list();
        newer.retain(|held| {
            let peer_version = versions.iter().find(|version| version.name == held.name);
            peer_version.map_or(0, |version| version.revision) < held.document.revision
        });
        newer
    }

    /// Whether a peer with the given versions has a newer revision of any document.
    pub fn is_behind(&self, versions: &[DocumentVersion]) -> bool {
        versions.iter().any(|version| {
            let held = self.documents.get(&version.name);
            held.map_or(0, |document| document.revision) < version.revision
        })
    }
}

/// Returns the contribution of a document to the digest; 0 for revision 0, which stands for a
/// document that is not held.
fn hash_version(name: &DocumentName, revision: u64) -> u64 {
    match revision {
        0 => 0,
        _ => xxh3_64(format!("{name}={revision}").as_bytes()),
    }
}

fn parse_into(
    snapshot: &mut SettingsSnapshot,
    name: &DocumentName,
    text: &str,
) -> Result<(), String> {
    let describe = |errors: Vec<hickorycourse_settings::ValidationError>| {
        errors.first().map(ToString::to_string).unwrap_or_default()
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
