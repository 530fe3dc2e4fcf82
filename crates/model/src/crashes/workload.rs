//! Sampling of prompts.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use xxhash_rust::xxh3::xxh3_64;

use super::pattern::{CrashPattern, CrashingPart};

/// Sound requests that come again and again.
const POLLS: u8 = 12;
/// Distinguishes the hashes of polls from others.
const POLL_SEED: u8 = 100;

/// A request as the quarantine sees it: the parts of its prompt without the last one, which is its own, and
/// the whole.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Hashes of the parts in order.
    pub parts: Vec<u64>,
    /// Hash of the whole request; `None` if it never comes again.
    pub request: Option<u64>,
    /// Index of the crashing part in the prompt.
    pub crashing_part: Option<usize>,
    /// Whether it has the first part of the prompts with crashing parts.
    pub is_sibling: bool,
}

/// Requests with the same first part.
struct Class {
    first_part: u64,
    subjects: Vec<u64>,
}

/// The parts that prompts are drawn from.
pub struct Workload {
    classes: Vec<Class>,
    /// Cumulative weights of the subjects of a class, the most frequent first.
    subject_weights: Vec<f64>,
    /// Index of the class with the crashing parts.
    crashing_class: usize,
    /// Hashes of the crashing parts.
    pub crashing_parts: Vec<u64>,
    popular_part: u64,
    popular_share: f64,
    /// Sound requests that come again and again.
    pub polls: Vec<u64>,
    poll_share: f64,
}

impl Workload {
    /// Draws classes and subjects. Subjects are frequent and rare, by Zipf's law.
    pub fn new(pattern: &CrashPattern, rng: &mut ChaCha8Rng) -> Self {
        let classes = rng.random_range(2..=6);
        let subjects = 20 + 2 * pattern.instances;
        let exponent = rng.random_range(0.8..1.2);
        let mut total = 0.0;
        let subject_weights = (1..=subjects)
            .map(|rank| {
                total += (rank as f64).powf(-exponent);
                total
            })
            .collect();
        Self {
            classes: (0..classes)
                .map(|_| Class {
                    first_part: rng.random(),
                    subjects: (0..subjects).map(|_| rng.random()).collect(),
                })
                .collect(),
            subject_weights,
            crashing_class: rng.random_range(0..classes),
            crashing_parts: pattern.crashing_parts.iter().map(|_| rng.random()).collect(),
            popular_part: rng.random(),
            popular_share: pattern.popular_share,
            polls: (0..POLLS).map(|number| xxh3_64(&[POLL_SEED + number])).collect(),
            poll_share: pattern.poll_share,
        }
    }

    fn sample_subject(&self, class: usize, rng: &mut ChaCha8Rng) -> u64 {
        let total = self.subject_weights.last().copied().unwrap_or(0.0);
        let drawn = rng.random::<f64>() * total;
        let rank = self.subject_weights.partition_point(|weight| *weight <= drawn);
        self.classes[class].subjects[rank.min(self.subject_weights.len() - 1)]
    }

    /// Draws the prompt of a sound request.
    pub fn sample_sound(&self, rng: &mut ChaCha8Rng) -> Prompt {
        if self.poll_share > 0.0 && rng.random_bool(self.poll_share) {
            let poll = self.polls[rng.random_range(0..self.polls.len())];
            let parts = Vec::new();
            return Prompt { parts, request: Some(poll), crashing_part: None, is_sibling: true };
        }
        let class = rng.random_range(0..self.classes.len());
        let is_sibling = class == self.crashing_class;
        let is_popular = is_sibling && rng.random_bool(self.popular_share);
        let subject = if is_popular { self.popular_part } else { self.sample_subject(class, rng) };
        let parts = vec![self.classes[class].first_part, subject];
        Prompt { parts, request: None, crashing_part: None, is_sibling }
    }

    /// Draws a prompt with a crashing part.
    pub fn sample_crashing(
        &self,
        part: usize,
        crashing: &CrashingPart,
        rng: &mut ChaCha8Rng,
    ) -> Prompt {
        if crashing.is_request {
            let (parts, request) = (Vec::new(), Some(self.crashing_parts[part]));
            return Prompt { parts, request, crashing_part: Some(part), is_sibling: false };
        }
        let class = self.crashing_class;
        let mut parts = vec![self.classes[class].first_part, self.crashing_parts[part]];
        if crashing.is_followed {
            parts.push(self.sample_subject(class, rng));
        }
        Prompt { parts, request: None, crashing_part: Some(part), is_sibling: false }
    }
}
