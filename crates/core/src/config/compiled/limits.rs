//! The limits of tenants over all nodes, and the units that the limits count.

use crate::base::Micros;

/// A limit on the number of calls in each time window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowQuota {
    /// The number of calls allowed in one window.
    pub calls: u64,
    /// The length of a window, in microseconds.
    pub window: Micros,
}

/// A token bucket, measured in thousandths of units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// The thousandths of units added per second.
    pub milli_per_second: u64,
    /// The capacity of the bucket, in thousandths of units.
    pub burst_milli: u64,
}

/// The unit that a rate counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaMeasure {
    /// Each call is one unit.
    #[default]
    Calls,
    /// Each input or output token of a call is one unit.
    Tokens {
        /// The number of units of a call whose token counts are unknown.
        default_units: u32,
    },
}

impl QuotaMeasure {
    /// Returns the number of units of a call with these counts of input and output tokens. Both counts are 0
    /// if they are unknown.
    pub fn units(self, (tokens_in, tokens_out): (u32, u32)) -> u32 {
        match self {
            QuotaMeasure::Calls => 1,
            QuotaMeasure::Tokens { default_units } => match tokens_in.saturating_add(tokens_out) {
                0 => default_units.max(1),
                tokens => tokens,
            },
        }
    }
}

/// The limit on a tenant's calls over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaLimit {
    /// A limit on the number of calls in each time window.
    Window(WindowQuota),
    /// A token bucket.
    Rate(Rate),
    /// No limit.
    Unlimited,
}
