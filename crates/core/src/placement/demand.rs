//! How often prompts were asked for lately.

use crate::base::Micros;

const MOST: usize = 1024;
/// Half of what was asked counts no more after this many milliseconds.
const HALF: f32 = 20_000.0;

/// How often beginnings of prompts were lately asked for at this node; 16 bytes each.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand(Vec<(u64, f32, u32)>);

impl PromptDemand {
    /// How much this one was asked for, faded by now.
    pub fn of(&self, key: u64, now: Micros) -> f32 {
        self.0.binary_search_by_key(&key, |r| r.0).map_or(0.0, |i| faded(&self.0[i], ms(now)))
    }

    /// It is asked for once more.
    pub fn record(&mut self, key: u64, now: Micros) {
        let t = ms(now);
        match self.0.binary_search_by_key(&key, |r| r.0) {
            Ok(i) => self.0[i] = (key, faded(&self.0[i], t) + 1.0, t),
            Err(i) => {
                self.0.insert(i, (key, 1.0, t));
                if self.0.len() > MOST
                    && let Some(i) = (0..self.0.len()).min_by_key(|i| self.0[*i].2)
                {
                    self.0.remove(i);
                }
            }
        }
    }
}

fn ms(now: Micros) -> u32 {
    u32::try_from((now / 1000) & 0xFFFF_FFFF).unwrap_or(0)
}

fn faded(r: &(u64, f32, u32), t: u32) -> f32 {
    r.1 * (-(t.wrapping_sub(r.2) as f32) / HALF).exp2()
}
