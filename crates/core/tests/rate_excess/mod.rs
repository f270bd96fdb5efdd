//! The excess of calls over a rate.

use sumacvale_core::base::Micros;
use sumacvale_core::config::Rate;

/// Returns the largest excess of the calls in any interval over the rate, in thousandths of calls; `times` are sorted.
pub fn largest_excess(rate: Rate, times: &[Micros]) -> i128 {
    let (mut lowest, mut largest) = (i128::MAX, 0);
    for (index, time) in times.iter().enumerate() {
        // In millionths of thousandths, so that nothing is lost to rounding.
        let refilled = i128::from(rate.milli_per_second) * i128::from(*time);
        lowest = lowest.min(index as i128 * 1_000_000_000 - refilled);
        largest = largest.max((index as i128 + 1) * 1_000_000_000 - refilled - lowest);
    }
    largest / 1_000_000
}
