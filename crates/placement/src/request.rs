//! Properties of a request that placement depends on.

use crate::completion::StreamedWork;
use crate::upstream::Upstream;

/// One part of a prompt. Requests with the same leading parts share them in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash that identifies the part.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// A request to be placed on an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// The prompt's parts in order; empty for services without a prompt.
    pub parts: &'a [PromptPart],
    /// Total prompt tokens.
    pub prompt_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Hash of the request, by which upstreams are sampled in a large fleet.
    pub seed: u64,
    /// Ids of upstreams that must not be chosen because an earlier attempt was sent to them.
    pub excluded: &'a [String],
    /// Software version of the upstreams that may be chosen; `None` for any.
    pub version: Option<&'a str>,
    /// What its end depends on; `None` if the response is not a stream, or its length is unknown.
    pub streamed: Option<StreamedWork>,
}

impl PlacementRequest<'_> {
    /// Returns whether an upstream may be chosen, whatever its state.
    pub(crate) fn permits(&self, id: &String, upstream: &Upstream) -> bool {
        let is_of_version =
            self.version.is_none_or(|version| upstream.version.as_deref() == Some(version));
        is_of_version && !self.excluded.contains(id)
    }

    /// The part whose hash selects the affinity upstream: the last part before the one that is unique
    /// to the request. `None` if no part is shared with other requests.
    pub fn affinity_part(&self) -> Option<PromptPart> {
        let shared = self.parts.len().checked_sub(1)?;
        self.parts[..shared].last().copied()
    }

    /// Tokens of the parts shared with other requests; the last part is unique to the request.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }
}
