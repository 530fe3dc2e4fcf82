//! Settings: the tree that operators share, the settings of one process, and their checks.
//!
//! Two kinds of settings exist. [`ProcessSettings`] tell one process its addresses, its availability
//! zone and its limits; they are a file beside the process. The *tree* ([`Site`] and
//! [`Organisation`]) says what is served to whom and how; it lives in the platform's key-value
//! service, and every instance applies it within seconds.
//!
//! Both are JSON with comments. [`parse_document`] refuses unknown fields and wrong values and says
//! the path, the line, what was found and what is allowed.
//!
//! ```
//! use hickorycourse_settings::prelude::*;
//!
//! let text = r#"{ "organisation": "dealers", /* small */ "callers": [], "shares": 3 }"#;
//! let faults = parse_document::<Organisation>(text).unwrap_err();
//! assert_eq!(faults[0].line, 1);
//! assert!(faults[0].message.contains("unknown field `shares`"));
//! ```

pub mod document;
mod effective;
mod fault;
mod keys;
mod parse;
mod policy;
mod process;
mod tree;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::document::{Change, Document, DocumentName, Edit, EditError};
    pub use crate::{
        Caller, EffectivePolicy, EffectiveValue, Fault, Organisation, Policy, ProcessSettings,
        RankSettings, Secret, ServiceKind, ServiceSettings, SettingsTree, Site, UpstreamSettings,
        hash_key, key_matches, parse_document,
    };
}

pub use effective::{EffectivePolicy, EffectiveValue};
pub use fault::Fault;
pub use keys::{Secret, hash_key, key_matches};
pub use parse::{Check, parse_document, read_document};
pub use policy::{AdmissionKind, Policy, RetryKind, RouterKind};
pub use process::{Limits, LogForm, LogLevel, LogSettings, ProcessSettings, TimingSettings};
pub use tree::{
    Caller, EngineWish, MachineClass, Organisation, OrganisationService, Price, RankOverrides,
    RankSettings, ServiceKind, ServiceSettings, SettingsTree, Site, UpstreamSettings,
};
