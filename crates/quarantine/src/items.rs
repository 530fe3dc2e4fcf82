//! What may be the cause of an upstream's end.

/// Position of a whole request, behind all parts of its prompt.
pub const REQUEST_POSITION: u8 = u8::MAX;

/// What an attempt is looked at for: the request as a whole, and the parts of its prompt. Each of these is an
/// *item*. The later its position, the fewer requests share it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestItems<'a> {
    /// Hash of the whole request, the same each time it is sent.
    pub request: Option<u64>,
    /// Hashes of the parts of the prompt in order, without the last one, which only this request has.
    pub parts: &'a [u64],
}

impl<'a> RequestItems<'a> {
    /// Returns the items with their positions.
    pub fn iter(self) -> impl Iterator<Item = (u64, u8)> + 'a {
        let parts = self.parts.iter().enumerate().map(|(position, part)| {
            let position = u8::try_from(position).unwrap_or(REQUEST_POSITION);
            (*part, position.min(REQUEST_POSITION - 1))
        });
        parts.chain(self.request.map(|request| (request, REQUEST_POSITION)))
    }

    /// Returns whether there is nothing to look at.
    pub fn is_empty(self) -> bool {
        self.request.is_none() && self.parts.is_empty()
    }
}

impl<'a> From<&'a [u64]> for RequestItems<'a> {
    fn from(parts: &'a [u64]) -> Self {
        Self { request: None, parts }
    }
}

impl<'a, const N: usize> From<&'a [u64; N]> for RequestItems<'a> {
    fn from(parts: &'a [u64; N]) -> Self {
        Self { request: None, parts }
    }
}

impl<'a> From<&'a Vec<u64>> for RequestItems<'a> {
    fn from(parts: &'a Vec<u64>) -> Self {
        Self { request: None, parts }
    }
}
