//! Sampling of prompts.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::pattern::CrashPattern;

/// The parts of a prompt without the last one, which is the request's own.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Hashes of the parts in order.
    pub parts: Vec<u64>,
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
        let class = rng.random_range(0..self.classes.len());
        let is_sibling = class == self.crashing_class;
        let is_popular = is_sibling && rng.random_bool(self.popular_share);
        let subject = if is_popular { self.popular_part } else { self.sample_subject(class, rng) };
        let parts = vec![self.classes[class].first_part, subject];
        Prompt { parts, crashing_part: None, is_sibling }
    }

    /// Draws a prompt with a crashing part.
    pub fn sample_crashing(&self, part: usize, is_followed: bool, rng: &mut ChaCha8Rng) -> Prompt {
        let class = self.crashing_class;
        let mut parts = vec![self.classes[class].first_part, self.crashing_parts[part]];
        if is_followed {
            parts.push(self.sample_subject(class, rng));
        }
        Prompt { parts, crashing_part: Some(part), is_sibling: false }
    }
}
