//! Quarantine of requests, and of parts of prompts, that crash upstreams.
//!
//! Load pattern: a few requests a second have a part in their prompts on which each engine crashes as it
//! begins to write, whatever else the prompt holds. They arrive at any instance, and their other parts,
//! keys and routes are those of requests that engines serve well. Ejecting the engine that crashed sends
//! the next such request to another one.
//!
//! Or one request, with a prompt or without, comes again and again and crashes each upstream that runs it.
//! Both are *items* ([`RequestItems`]); below, a part stands for either.
//!
//! Free of I/O: the current time is an argument. Each instance records in its [`PartQuarantine`] which
//! parts its attempts had that broke before their answer was well begun, for each start of an upstream
//! that ended, and the parts on which answers have begun. A part is quarantined once it was in such
//! attempts on several starts, over some time, and no answer has begun on it since. Instances exchange
//! this as a [`QuarantineDigest`], which can be merged any number of times and in any order.
//!
//! A part in many requests is cleared by the next answer that begins on it, within milliseconds; that is
//! what keeps waves of crashes for other reasons from blaming it.

mod digest;
mod evidence;
mod items;
mod options;
mod table;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        PartQuarantine, QuarantineChange, QuarantineDigest, QuarantineOptions, RequestItems,
    };
}

pub use digest::{AgedPart, AgedStart, EndDigest, MergeError, QuarantineDigest, QuarantinedDigest};
pub use items::{REQUEST_POSITION, RequestItems};
pub use options::QuarantineOptions;
pub use table::{PartQuarantine, QuarantineChange, QuarantinedPart, SuspectAdmission};
