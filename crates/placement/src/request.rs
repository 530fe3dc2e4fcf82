//! A request as placement sees it.

/// One part of a prompt. Requests whose first parts are the same share them in an engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash that names the part.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// The prompt's parts in order; empty for plain services.
    pub parts: &'a [PromptPart],
    /// All prompt tokens.
    pub prompt_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Upstreams that were tried.
    pub excluded: &'a [String],
}

impl PlacementRequest<'_> {
    /// The part by which requests are kept together: the last one that others share.
    pub fn affinity_part(&self) -> Option<PromptPart> {
        let shared = self.parts.len().checked_sub(1)?;
        self.parts[..shared].last().copied()
    }

    /// Tokens of the parts that others share; the last part is the request's own.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }
}
