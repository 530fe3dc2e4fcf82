//! Pace of the events of a service's usual upstream, by the fill of its batch.

use hickorycourse_facts::SpeedEstimate;

/// Fills that are told apart, from an empty batch to a full one.
const FILL_LEVELS: usize = 8;
/// Step of a median's estimate after many observations, as a logarithm.
const MEDIAN_STEP: f64 = 0.02;
/// Weight of an observation in the variances, which span about a hundred.
const VARIANCE_WEIGHT: f64 = 0.01;
/// Observations from which on the pace is known.
const MIN_OBSERVATIONS: u64 = 16;
/// Standard deviation of the natural logarithm of upstreams' speeds from which on they count as uneven.
const UNEVEN_DEVIATION: f64 = 0.15;
/// Range of a pace that is believed, in milliseconds per event.
const PACE_RANGE_MS: (f64, f64) = (0.01, 60_000.0);

/// Running estimate of a median, by steps of its sign.
#[derive(Clone, Copy, Debug, Default)]
struct LogMedian {
    value: f64,
    observations: u64,
}

impl LogMedian {
    fn record(&mut self, value: f64) {
        let step = (1.0 / (self.observations as f64 + 1.0)).max(MEDIAN_STEP);
        self.value = match self.observations {
            0 => value,
            _ => self.value + (value - self.value).clamp(-step, step),
        };
        self.observations += 1;
    }
}

/// Estimated time between events at one upstream: its logarithm is normal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceEstimate {
    /// Mean of the logarithm of the milliseconds per event.
    pub log_ms: f64,
    /// Variance of what is not known of the upstream's speed.
    pub variance: f64,
    /// Variance of one observation by noise; it averages out over a long response.
    pub noise_variance: f64,
}

/// Pace of a service's usual upstream, and how the upstreams differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePace {
    levels: [LogMedian; FILL_LEVELS],
    observations: u64,
    /// Mean squared deviation of observations from the usual pace.
    total_variance: f64,
    /// The same from the pace expected of their upstream.
    noise_variance: f64,
}

impl ServicePace {
    /// Records a pace at an upstream of this estimated speed and fill. Returns the logarithm of its factor of the
    /// usual pace; `None` for a pace that can't be right.
    ///
    /// The speed is taken out of the usual pace, as fast upstreams may be the fullest or the emptiest ones.
    pub fn record(&mut self, pace_ms: f64, fill: f64, speed: SpeedEstimate) -> Option<f64> {
        if !(PACE_RANGE_MS.0..=PACE_RANGE_MS.1).contains(&pace_ms) {
            return None;
        }
        let log_ms = pace_ms.ln();
        let factor = self.usual(fill).map_or(0.0, |usual| log_ms - usual);
        self.levels[level(fill)].record(log_ms - speed.log_factor);
        self.observations += 1;
        let weight = VARIANCE_WEIGHT.max(1.0 / self.observations as f64);
        let noise = factor - speed.log_factor;
        self.total_variance += (factor * factor - self.total_variance) * weight;
        self.noise_variance += (noise * noise - self.noise_variance) * weight;
        Some(factor)
    }

    /// Returns whether the upstreams differ in speed by more than their noise.
    pub fn is_uneven(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS && self.speed_variance() > UNEVEN_DEVIATION.powi(2)
    }

    /// Estimates the pace at an upstream of this speed and fill; `None` while too little is known.
    pub fn estimate(&self, fill: f64, speed: SpeedEstimate) -> Option<PaceEstimate> {
        if self.observations < MIN_OBSERVATIONS {
            return None;
        }
        Some(PaceEstimate {
            log_ms: self.usual(fill)? + speed.log_factor,
            variance: self.speed_variance() * (1.0 - speed.certainty),
            noise_variance: self.noise_variance,
        })
    }

    fn speed_variance(&self) -> f64 {
        (self.total_variance - self.noise_variance).max(0.0)
    }

    /// Logarithm of the usual pace at this fill, or at the nearest one that has been seen.
    fn usual(&self, fill: f64) -> Option<f64> {
        let wanted = level(fill);
        let seen = self.levels.iter().enumerate().filter(|(_, median)| median.observations > 0);
        seen.min_by_key(|(level, _)| level.abs_diff(wanted)).map(|(_, median)| median.value)
    }
}

fn level(fill: f64) -> usize {
    ((fill.clamp(0.0, 1.0) * FILL_LEVELS as f64) as usize).min(FILL_LEVELS - 1)
}
