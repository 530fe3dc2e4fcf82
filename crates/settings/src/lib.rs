//! Settings of a process, the settings tree shared by all instances, and their validation.
//!
//! There are two kinds of settings. [`ProcessSettings`] configure the addresses, availability zone
//! and limits of one process and are read from a local file. The *settings tree* ([`Site`] and
//! [`Organisation`]) configures the services, their upstreams, the callers and their policies; it
//! is stored in the platform's key-value service, and every instance applies changes within
//! seconds.
//!
//! Both are written in JSON with comments. [`parse_document`] rejects unknown fields and invalid
//! values, and reports the path, the line, the value found and the values allowed.
//!
//! ```
//! use hickorycourse_settings::prelude::*;
//!
//! let text = r#"{ "organisation": "dealers", /* small */ "callers": [], "shares": 3 }"#;
//! let errors = parse_document::<Organisation>(text).unwrap_err();
//! assert_eq!(errors[0].line, 1);
//! assert!(errors[0].message.contains("unknown field `shares`"));
//! ```

pub mod document;
mod effective;
mod keys;
mod parse;
mod policy;
mod process;
mod tree;
mod validation_error;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::document::{Change, Document, DocumentName, Edit, EditError};
    pub use crate::{
        Caller, EffectivePolicy, EffectiveValue, Organisation, Policy, ProcessSettings,
        RankSettings, Secret, ServiceKind, ServiceSettings, SettingsTree, Site, UpstreamSettings,
        ValidationError, hash_key, key_matches, parse_document,
    };
}

pub use effective::{EffectivePolicy, EffectiveValue};
pub use keys::{Secret, hash_key, key_matches};
pub use parse::{Check, parse_document, read_document};
pub use policy::{AdmissionKind, Policy, RetryKind, RouterKind};
pub use process::{Limits, LogFormat, LogLevel, LogSettings, ProcessSettings, TimingSettings};
pub use tree::{
    Caller, DesiredEngineState, MachineClass, Organisation, OrganisationService, Price,
    RankOverrides, RankSettings, ServiceKind, ServiceSettings, SettingsTree, Site,
    UpstreamSettings,
};
pub use validation_error::ValidationError;
