//! Support for tests of placement.

pub mod drafts;
