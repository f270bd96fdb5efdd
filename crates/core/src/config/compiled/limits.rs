//! Limits of tenants over all nodes, and what they count.

use crate::base::Micros;

/// A number of calls in each window of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowQuota {
    /// Calls allowed in one window.
    pub calls: u64,
    /// The length of a window, in microseconds.
    pub window: Micros,
}

/// A token bucket, in thousandths of units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Thousandths of units added each second.
    pub milli_per_second: u64,
    /// Thousandths of units that may be used at once.
    pub burst_milli: u64,
}

/// What a rate counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Measure {
    /// Each call is one unit.
    #[default]
    Calls,
    /// A call is as many units as it has tokens, input and output together.
    Tokens {
        /// The units of a call whose token counts are unknown.
        default_units: u32,
    },
}

impl Measure {
    /// The units of a call with these counts of input and output tokens; both 0 means unknown.
    pub fn units(self, (tokens_in, tokens_out): (u32, u32)) -> u32 {
        match self {
            Measure::Calls => 1,
            Measure::Tokens { default_units } => match tokens_in.saturating_add(tokens_out) {
                0 => default_units.max(1),
                tokens => tokens,
            },
        }
    }
}

/// How a tenant's calls are limited over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// A number of calls in each window of time.
    Window(WindowQuota),
    /// A token bucket.
    Rate(Rate),
    /// No limit.
    Unlimited,
}
