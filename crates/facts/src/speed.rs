//! Speed of one upstream, relative to the others of its service.

/// What is known of the speed of one upstream.
#[derive(Clone, Debug, Default)]
pub struct SpeedFacts {}
