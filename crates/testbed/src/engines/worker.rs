//! A model worker: an engine that steps while it has calls, with chunked prefill, a cache of
//! prompt prefixes and preemption when the cache is full.

use super::deployment::EngineProfile;
use super::events::Load;
use std::collections::BTreeMap;
use sumacvale_core::base::Micros;
use sumacvale_core::placement::PromptSegment;

/// Tokens that must be free besides a prompt before a call gets a slot.
const ADMISSION_RESERVE: u64 = 64;

/// A call at a worker.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The index of the call.
    pub call: usize,
    /// Its rank, 0 first.
    pub urgency: u8,
    /// When its client gives up, in microseconds.
    pub deadline: Micros,
    /// The prefixes of its prompt.
    pub chain: Vec<PromptSegment>,
    /// Prompt tokens that prefill has yet to compute.
    pub uncomputed: u32,
    /// Prompt tokens that are computed, from the cache or by prefill.
    pub computed: u32,
    /// Tokens that were generated.
    pub generated: u32,
    /// Tokens after which the response is complete.
    pub output_tokens: u32,
    /// Its place in the order of arrival at the worker.
    arrival: u64,
}

impl Sequence {
    /// A sequence of which nothing is computed.
    pub fn new(call: usize, urgency: u8, deadline: Micros, chain: Vec<PromptSegment>, output_tokens: u32) -> Self {
        let uncomputed = chain.iter().map(|segment| segment.tokens).sum();
        Sequence { call, urgency, deadline, chain, uncomputed, computed: 0, generated: 0, output_tokens, arrival: 0 }
    }
}

/// The segments that other prompts may share: all but the last.
pub fn shared_segments(chain: &[PromptSegment]) -> &[PromptSegment] {
    chain.split_last().map_or(&[], |(_, shared)| shared)
}

/// A cached segment.
#[derive(Clone, Debug)]
struct Block {
    tokens: u32,
    /// Running sequences that use it; it stays while there are any.
    references: u32,
    /// Prefill has computed it, so that other sequences need not.
    computed: bool,
    last_used: u64,
}

/// The KV cache. Blocks that nobody uses stay until there is no room, the least recently used
/// leave first.
#[derive(Clone, Debug)]
struct KvCache {
    capacity: u64,
    blocks: BTreeMap<u64, Block>,
    /// The tokens of all `blocks`.
    block_tokens: u64,
    /// The generated tokens of all running sequences.
    generated_tokens: u64,
    /// Rises with each use.
    clock: u64,
}

impl KvCache {
    fn new(capacity: u64) -> Self {
        KvCache { capacity, blocks: BTreeMap::new(), block_tokens: 0, generated_tokens: 0, clock: 0 }
    }

    fn is_computed(&self, key: u64) -> bool {
        self.blocks.get(&key).is_some_and(|block| block.computed)
    }

    /// How many tokens from the start of a chain are computed.
    fn computed_tokens(&self, chain: &[PromptSegment]) -> u32 {
        chain.iter().take_while(|segment| self.is_computed(segment.key)).map(|segment| segment.tokens).sum()
    }

    /// Evicts unused blocks until so many tokens fit; false if they cannot.
    fn make_room(&mut self, tokens: u64) -> bool {
        while self.block_tokens + self.generated_tokens + tokens > self.capacity {
            let unused = self.blocks.iter().filter(|(_, block)| block.references == 0);
            let Some(key) = unused.min_by_key(|(_, block)| block.last_used).map(|(key, _)| *key) else {
                return false;
            };
            self.remove(key);
        }
        true
    }

    fn remove(&mut self, key: u64) {
        if let Some(block) = self.blocks.remove(&key) {
            self.block_tokens -= u64::from(block.tokens);
        }
    }

    /// Adds the chain with a reference to each segment; false, and unchanged references, if there is
    /// no room for it.
    fn acquire(&mut self, chain: &[PromptSegment]) -> bool {
        // Referenced first: making room must not evict the chain's own blocks.
        self.update_blocks(chain, |block| block.references += 1);
        let missing = chain.iter().filter(|segment| !self.blocks.contains_key(&segment.key));
        let missing_tokens: u64 = missing.map(|segment| u64::from(segment.tokens)).sum();
        if !self.make_room(missing_tokens + ADMISSION_RESERVE) {
            self.update_blocks(chain, |block| block.references -= 1);
            return false;
        }
        self.clock += 1;
        for segment in chain {
            let block = self.blocks.entry(segment.key).or_insert_with(|| {
                self.block_tokens += u64::from(segment.tokens);
                Block { tokens: segment.tokens, references: 1, computed: false, last_used: 0 }
            });
            block.last_used = self.clock;
        }
        true
    }

    /// Ends a sequence's use of its chain. Blocks that were not computed are worth nothing to others.
    fn release(&mut self, sequence: &Sequence) {
        self.generated_tokens -= u64::from(sequence.generated);
        self.clock += 1;
        for segment in &sequence.chain {
            let Some(block) = self.blocks.get_mut(&segment.key) else { continue };
            block.references -= 1;
            block.last_used = self.clock;
            if block.references == 0 && !block.computed {
                self.remove(segment.key);
            }
        }
    }

    fn mark_computed(&mut self, chain: &[PromptSegment]) {
        self.update_blocks(chain, |block| block.computed = true);
    }

    fn update_blocks(&mut self, chain: &[PromptSegment], update: impl Fn(&mut Block)) {
        for segment in chain {
            if let Some(block) = self.blocks.get_mut(&segment.key) {
                update(block);
            }
        }
    }
}

/// What a step sends to fronts.
#[derive(Clone, Copy, Debug)]
pub enum StepOutput {
    /// An event of a stream.
    Event {
        /// The index of the call.
        call: usize,
        /// It is the first since the call got its slot.
        first: bool,
    },
    /// The end of a response.
    End {
        /// The index of the call.
        call: usize,
    },
}

/// What a worker has done; it survives a restart, so that a run counts everything.
#[derive(Clone, Debug, Default)]
pub struct WorkerCounts {
    /// Sequences that lost their slot to make room.
    pub preempted: u64,
    /// Tokens of shared segments that prefill had to compute.
    pub shared_tokens: u64,
    /// The shared segments that prefill had to compute, by key, with their tokens.
    pub shared_segments: BTreeMap<u64, u32>,
}

/// An emulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    engine: EngineProfile,
    /// How much longer its steps take than the profile says.
    slowdown: f64,
    zone: usize,
    lost: bool,
    stepping: bool,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    arrivals: u64,
    cache: KvCache,
    counts: WorkerCounts,
}

impl Worker {
    /// A worker without calls and with an empty cache.
    pub fn new(engine: EngineProfile, slowdown: f64, zone: usize) -> Self {
        Worker {
            engine,
            slowdown,
            zone,
            lost: false,
            stepping: false,
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            cache: KvCache::new(engine.kv_cache_tokens),
            counts: WorkerCounts::default(),
        }
    }

    /// The same worker started again: empty, with its counts.
    pub fn restarted(&self) -> Worker {
        Worker { counts: self.counts.clone(), ..Worker::new(self.engine, self.slowdown, self.zone) }
    }

    /// The index of its zone.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// How much longer its steps take than the engine's profile says.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Whether it crashed and was not restarted.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// What it has done.
    pub fn counts(&self) -> &WorkerCounts {
        &self.counts
    }

    /// Its present calls.
    pub fn load(&self) -> Load {
        let running = self.running.iter().filter(|sequence| sequence.generated > 0).count();
        Load { running: running as u32, waiting: (self.call_count() - running) as u32 }
    }

    /// Whether it declines further calls.
    pub fn is_full(&self) -> bool {
        self.call_count() >= self.engine.slots + self.engine.queue_capacity
    }

    fn call_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How many tokens of a chain need no prefill.
    pub fn computed_tokens(&self, chain: &[PromptSegment]) -> u32 {
        self.cache.computed_tokens(chain)
    }

    /// Prompt tokens that are computed before those of a new call of this urgency.
    pub fn prefill_ahead(&self, urgency: u8) -> f64 {
        let running = self.running.iter().map(|sequence| f64::from(sequence.uncomputed)).sum::<f64>();
        let waiting = self.waiting.iter().filter(|sequence| sequence.urgency <= urgency);
        running + waiting.map(|sequence| f64::from(self.uncached_tokens(sequence))).sum::<f64>()
    }

    fn uncached_tokens(&self, sequence: &Sequence) -> u32 {
        sequence.uncomputed - self.computed_tokens(&sequence.chain).min(sequence.uncomputed)
    }

    /// Adds a call to the queue.
    pub fn enqueue(&mut self, mut sequence: Sequence) {
        self.arrivals += 1;
        sequence.arrival = self.arrivals;
        self.waiting.push(sequence);
    }

    /// Begins a step, unless one is under way or there is nothing to do; gives its duration in
    /// microseconds.
    pub fn begin_step(&mut self, now: Micros) -> Option<Micros> {
        if self.stepping {
            return None;
        }
        self.drop_expired(now);
        self.fill_slots();
        self.stepping = !self.running.is_empty();
        self.stepping.then(|| self.compute_step())
    }

    fn drop_expired(&mut self, now: Micros) {
        self.waiting.retain(|sequence| sequence.deadline > now);
        for expired in self.running.extract_if(.., |sequence| sequence.deadline <= now) {
            self.cache.release(&expired);
        }
    }

    /// Moves calls from the queue to free slots: the most urgent first, then the oldest.
    fn fill_slots(&mut self) {
        while self.running.len() < self.engine.slots {
            let order = |index: &usize| (self.waiting[*index].urgency, self.waiting[*index].arrival);
            let Some(index) = (0..self.waiting.len()).min_by_key(order) else { return };
            let chain = &self.waiting[index].chain;
            let computed = self.cache.computed_tokens(chain);
            if !self.cache.acquire(chain) {
                return;
            }
            let mut sequence = self.waiting.remove(index);
            self.count_shared_prefill(&sequence.chain);
            let tokens: u32 = sequence.chain.iter().map(|segment| segment.tokens).sum();
            // The last token is computed anyway: generation begins with its result.
            sequence.uncomputed = (tokens - computed).max(1);
            sequence.computed = computed;
            self.running.push(sequence);
        }
    }

    fn count_shared_prefill(&mut self, chain: &[PromptSegment]) {
        for segment in shared_segments(chain) {
            if !self.cache.is_computed(segment.key) {
                self.counts.shared_tokens += u64::from(segment.tokens);
                self.counts.shared_segments.insert(segment.key, segment.tokens);
            }
        }
    }

    /// Computes a chunk of the prompts; gives the duration of the step in microseconds.
    fn compute_step(&mut self) -> Micros {
        let engine = &self.engine;
        let mut chunk_left = engine.prefill_chunk;
        let (mut step_ms, mut decoding, mut context_tokens) = (engine.step_ms, 0.0, 0.0);
        for sequence in &mut self.running {
            if sequence.uncomputed == 0 {
                decoding += 1.0;
                context_tokens += f64::from(sequence.computed + sequence.generated);
                continue;
            }
            let chunk = sequence.uncomputed.min(chunk_left);
            chunk_left -= chunk;
            step_ms += prefill_ms(engine, sequence.computed, chunk);
            sequence.uncomputed -= chunk;
            sequence.computed += chunk;
        }
        step_ms += decoding * engine.slot_ms + context_tokens / 1_000.0 * engine.context_ms;
        (step_ms * self.slowdown * 1_000.0) as Micros
    }

    /// Ends a step: a token for each sequence whose prompt is computed.
    pub fn complete_step(&mut self) -> Vec<StepOutput> {
        let mut output = Vec::new();
        let mut index = 0;
        while index < self.running.len() {
            let can_generate =
                self.running[index].uncomputed == 0 && (self.cache.make_room(1) || self.preempt_behind(index));
            // A completed sequence leaves, and the next one has its index.
            if !can_generate || !self.generate_token(index, &mut output) {
                index += 1;
            }
        }
        self.stepping = false;
        output
    }

    /// Generates a token; true if the sequence was completed by it and removed.
    fn generate_token(&mut self, index: usize, output: &mut Vec<StepOutput>) -> bool {
        let sequence = &mut self.running[index];
        if sequence.generated == 0 {
            self.cache.mark_computed(&sequence.chain);
        }
        sequence.generated += 1;
        self.cache.generated_tokens += 1;
        let (call, first) = (sequence.call, sequence.generated == 1);
        let complete = sequence.generated >= sequence.output_tokens;
        if first || complete || sequence.generated.is_multiple_of(self.engine.tokens_per_event) {
            output.push(StepOutput::Event { call, first });
        }
        if complete {
            output.push(StepOutput::End { call });
            let sequence = self.running.remove(index);
            self.cache.release(&sequence);
        }
        complete
    }

    /// Returns the newest of the least urgent sequences to the queue, if it stands behind `index`;
    /// its tokens are then computed again.
    fn preempt_behind(&mut self, index: usize) -> bool {
        let order = |index: &usize| (self.running[*index].urgency, self.running[*index].arrival);
        let victim = (0..self.running.len()).max_by_key(order).filter(|victim| *victim > index);
        let Some(victim) = victim else { return false };
        let mut sequence = self.running.remove(victim);
        self.cache.release(&sequence);
        sequence.output_tokens -= sequence.generated.min(sequence.output_tokens - 1);
        sequence.generated = 0;
        self.counts.preempted += 1;
        self.waiting.push(sequence);
        true
    }

    /// Loses the worker with all its calls, which it gives by index.
    pub fn crash(&mut self) -> Vec<usize> {
        self.lost = true;
        self.running.drain(..).chain(self.waiting.drain(..)).map(|sequence| sequence.call).collect()
    }
}

/// The time of prefill for a chunk behind so many computed tokens, in milliseconds.
fn prefill_ms(engine: &EngineProfile, computed: u32, chunk: u32) -> f64 {
    let (computed, chunk) = (f64::from(computed), f64::from(chunk));
    chunk / engine.prefill_tokens_per_ms + chunk * (computed + chunk / 2.0) / 1e6 * engine.attention_ms
}
