//! An emulated model worker: an engine with chunked prefill, a prefix cache, and preemption when the
//! cache is full. The engine steps while the worker has calls.

use super::deployment::EngineProfile;
use super::events::Load;
use std::collections::BTreeMap;
use sumacvale_core::base::Micros;
use sumacvale_core::placement::PromptSegment;

/// The number of cache tokens that must be free in addition to the prompt before a call gets a slot.
const ADMISSION_RESERVE_TOKENS: u64 = 64;

/// A call at a worker.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The index of the call.
    pub call: usize,
    /// The rank in the queue; 0 is the most urgent.
    pub urgency: u8,
    /// The time at which the client gives up, in microseconds.
    pub deadline: Micros,
    /// The segments of the prompt; each key identifies the prefix up to the end of the segment.
    pub chain: Vec<PromptSegment>,
    /// The number of prompt tokens that prefill has yet to compute.
    pub uncomputed_tokens: u32,
    /// The number of prompt tokens that are in the cache or were computed by prefill.
    pub computed_tokens: u32,
    /// The number of tokens generated so far.
    pub generated_tokens: u32,
    /// The number of generated tokens at which the response is complete.
    pub output_tokens: u32,
    /// The position in the order of arrival at the worker.
    arrival: u64,
}

impl Sequence {
    /// Creates a sequence without computed prompt tokens.
    pub fn new(call: usize, urgency: u8, deadline: Micros, chain: Vec<PromptSegment>, output_tokens: u32) -> Self {
        let uncomputed_tokens = chain.iter().map(|segment| segment.tokens).sum();
        Sequence {
            call,
            urgency,
            deadline,
            chain,
            uncomputed_tokens,
            computed_tokens: 0,
            generated_tokens: 0,
            output_tokens,
            arrival: 0,
        }
    }
}

/// Returns the segments that other prompts may share: all but the last.
pub fn shared_segments(chain: &[PromptSegment]) -> &[PromptSegment] {
    chain.split_last().map_or(&[], |(_, shared)| shared)
}

/// A cached segment of a prompt.
#[derive(Clone, Debug)]
struct Block {
    tokens: u32,
    /// The number of running sequences that use the block. A referenced block is never evicted.
    references: u32,
    /// True once prefill has computed the block; other sequences can then use it.
    is_computed: bool,
    /// The value of [`KvCache::clock`] at the last use.
    last_used: u64,
}

/// The KV cache. Unreferenced blocks stay until their capacity is needed; the least recently used
/// block is evicted first.
#[derive(Clone, Debug)]
struct KvCache {
    /// The maximum of `block_tokens` and `generated_tokens` together.
    capacity: u64,
    /// The cached blocks, by the key of their segment.
    blocks: BTreeMap<u64, Block>,
    /// The number of tokens in all `blocks`.
    block_tokens: u64,
    /// The number of tokens that the running sequences have generated.
    generated_tokens: u64,
    /// A logical clock, incremented with each use of a block.
    clock: u64,
}

impl KvCache {
    fn new(capacity: u64) -> Self {
        KvCache { capacity, blocks: BTreeMap::new(), block_tokens: 0, generated_tokens: 0, clock: 0 }
    }

    fn is_computed(&self, key: u64) -> bool {
        self.blocks.get(&key).is_some_and(|block| block.is_computed)
    }

    /// Returns the number of computed tokens from the start of a chain.
    fn computed_tokens(&self, chain: &[PromptSegment]) -> u32 {
        chain.iter().take_while(|segment| self.is_computed(segment.key)).map(|segment| segment.tokens).sum()
    }

    /// Evicts unreferenced blocks until `tokens` more fit. Returns false if they do not fit.
    fn evict_until_fits(&mut self, tokens: u64) -> bool {
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

    /// Adds the chain and references each of its blocks. Returns false and leaves the references
    /// unchanged if the chain does not fit.
    fn acquire(&mut self, chain: &[PromptSegment]) -> bool {
        // References are taken before eviction, which must not remove blocks of this chain.
        self.update_blocks(chain, |block| block.references += 1);
        let missing = chain.iter().filter(|segment| !self.blocks.contains_key(&segment.key));
        let missing_tokens: u64 = missing.map(|segment| u64::from(segment.tokens)).sum();
        if !self.evict_until_fits(missing_tokens + ADMISSION_RESERVE_TOKENS) {
            self.update_blocks(chain, |block| block.references -= 1);
            return false;
        }
        self.clock += 1;
        for segment in chain {
            let block = self.blocks.entry(segment.key).or_insert_with(|| {
                self.block_tokens += u64::from(segment.tokens);
                Block { tokens: segment.tokens, references: 1, is_computed: false, last_used: 0 }
            });
            block.last_used = self.clock;
        }
        true
    }

    /// Releases the references of a sequence to its chain. Unreferenced blocks that were not computed
    /// are removed, as other sequences cannot use them.
    fn release(&mut self, sequence: &Sequence) {
        self.generated_tokens -= u64::from(sequence.generated_tokens);
        self.clock += 1;
        for segment in &sequence.chain {
            let Some(block) = self.blocks.get_mut(&segment.key) else { continue };
            block.references -= 1;
            block.last_used = self.clock;
            if block.references == 0 && !block.is_computed {
                self.remove(segment.key);
            }
        }
    }

    /// Marks the blocks of a chain as computed.
    fn mark_computed(&mut self, chain: &[PromptSegment]) {
        self.update_blocks(chain, |block| block.is_computed = true);
    }

    fn update_blocks(&mut self, chain: &[PromptSegment], update: impl Fn(&mut Block)) {
        for segment in chain {
            if let Some(block) = self.blocks.get_mut(&segment.key) {
                update(block);
            }
        }
    }
}

/// An output of a step, which the worker sends to a front.
#[derive(Clone, Copy, Debug)]
pub enum StepOutput {
    /// An event of a stream.
    Event {
        /// The index of the call.
        call: usize,
        /// True for the first event since the call got its slot.
        is_first: bool,
    },
    /// The end of a response.
    End {
        /// The index of the call.
        call: usize,
    },
}

/// The counters of a worker. A restart keeps them, so that they cover the whole run.
#[derive(Clone, Debug, Default)]
pub struct WorkerCounts {
    /// The number of sequences that were preempted to free cache capacity.
    pub preempted: u64,
    /// The number of tokens of shared segments that prefill had to compute.
    pub shared_tokens: u64,
    /// The number of tokens of each shared segment that prefill had to compute, by the key of the segment.
    pub shared_segments: BTreeMap<u64, u32>,
}

/// An emulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    engine: EngineProfile,
    /// The factor on the step time of the engine profile.
    slowdown: f64,
    /// The index of the zone.
    zone: usize,
    /// True from a crash until the restart.
    is_crashed: bool,
    /// True while a step is in progress.
    is_stepping: bool,
    /// The sequences that have a slot, in the order in which they got it.
    running: Vec<Sequence>,
    /// The sequences that wait for a slot.
    waiting: Vec<Sequence>,
    /// The number of calls that were queued so far.
    arrivals: u64,
    cache: KvCache,
    counts: WorkerCounts,
}

impl Worker {
    /// Creates a worker without calls and with an empty cache.
    pub fn new(engine: EngineProfile, slowdown: f64, zone: usize) -> Self {
        Worker {
            engine,
            slowdown,
            zone,
            is_crashed: false,
            is_stepping: false,
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            cache: KvCache::new(engine.kv_cache_tokens),
            counts: WorkerCounts::default(),
        }
    }

    /// Returns this worker after a restart: without calls, with an empty cache and with its counters.
    pub fn restarted(&self) -> Worker {
        Worker { counts: self.counts.clone(), ..Worker::new(self.engine, self.slowdown, self.zone) }
    }

    /// Returns the index of the zone.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Returns the factor on the step time of the engine profile.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns true from a crash until the restart.
    pub fn is_crashed(&self) -> bool {
        self.is_crashed
    }

    /// Returns the counters of the whole run.
    pub fn counts(&self) -> &WorkerCounts {
        &self.counts
    }

    /// Returns the number of calls at the worker.
    pub fn load(&self) -> Load {
        let running = self.running.iter().filter(|sequence| sequence.generated_tokens > 0).count();
        Load { running: running as u32, waiting: (self.call_count() - running) as u32 }
    }

    /// Returns true if the worker declines further calls.
    pub fn is_full(&self) -> bool {
        self.call_count() >= self.engine.slots + self.engine.queue_capacity
    }

    fn call_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the number of tokens of a chain that need no prefill.
    pub fn computed_tokens(&self, chain: &[PromptSegment]) -> u32 {
        self.cache.computed_tokens(chain)
    }

    /// Returns the number of prompt tokens that are computed before those of a new call of this urgency.
    pub fn prefill_ahead(&self, urgency: u8) -> f64 {
        let running = self.running.iter().map(|sequence| f64::from(sequence.uncomputed_tokens)).sum::<f64>();
        let waiting = self.waiting.iter().filter(|sequence| sequence.urgency <= urgency);
        running + waiting.map(|sequence| f64::from(self.uncached_tokens(sequence))).sum::<f64>()
    }

    fn uncached_tokens(&self, sequence: &Sequence) -> u32 {
        sequence.uncomputed_tokens - self.computed_tokens(&sequence.chain).min(sequence.uncomputed_tokens)
    }

    /// Adds a call to the queue.
    pub fn enqueue(&mut self, mut sequence: Sequence) {
        self.arrivals += 1;
        sequence.arrival = self.arrivals;
        self.waiting.push(sequence);
    }

    /// Begins a step, unless one is in progress or no call can run. Returns its duration in
    /// microseconds.
    pub fn begin_step(&mut self, now: Micros) -> Option<Micros> {
        if self.is_stepping {
            return None;
        }
        self.drop_expired(now);
        self.fill_slots();
        self.is_stepping = !self.running.is_empty();
        self.is_stepping.then(|| self.compute_step())
    }

    /// Removes the calls whose clients have given up.
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
            let computed_tokens = self.cache.computed_tokens(chain);
            if !self.cache.acquire(chain) {
                return;
            }
            let mut sequence = self.waiting.remove(index);
            self.count_shared_prefill(&sequence.chain);
            let tokens: u32 = sequence.chain.iter().map(|segment| segment.tokens).sum();
            // The last token is always computed: generation starts from its result.
            sequence.uncomputed_tokens = (tokens - computed_tokens).max(1);
            sequence.computed_tokens = computed_tokens;
            self.running.push(sequence);
        }
    }

    /// Counts the shared segments of a chain that prefill has to compute.
    fn count_shared_prefill(&mut self, chain: &[PromptSegment]) {
        for segment in shared_segments(chain) {
            if !self.cache.is_computed(segment.key) {
                self.counts.shared_tokens += u64::from(segment.tokens);
                self.counts.shared_segments.insert(segment.key, segment.tokens);
            }
        }
    }

    /// Computes a chunk of the prompts. Returns the duration of the step in microseconds.
    fn compute_step(&mut self) -> Micros {
        let engine = &self.engine;
        let mut chunk_left = engine.prefill_chunk;
        let (mut step_ms, mut decoding, mut context_tokens) = (engine.step_ms, 0.0, 0.0);
        for sequence in &mut self.running {
            if sequence.uncomputed_tokens == 0 {
                decoding += 1.0;
                context_tokens += f64::from(sequence.computed_tokens + sequence.generated_tokens);
                continue;
            }
            let chunk = sequence.uncomputed_tokens.min(chunk_left);
            chunk_left -= chunk;
            step_ms += prefill_ms(engine, sequence.computed_tokens, chunk);
            sequence.uncomputed_tokens -= chunk;
            sequence.computed_tokens += chunk;
        }
        step_ms += decoding * engine.slot_ms + context_tokens / 1_000.0 * engine.context_ms;
        (step_ms * self.slowdown * 1_000.0) as Micros
    }

    /// Ends a step and generates a token for each sequence whose prompt is computed.
    pub fn complete_step(&mut self) -> Vec<StepOutput> {
        let mut output = Vec::new();
        let mut index = 0;
        while index < self.running.len() {
            let can_generate = self.running[index].uncomputed_tokens == 0
                && (self.cache.evict_until_fits(1) || self.preempt_behind(index));
            // A completed sequence is removed, and the next sequence takes its index.
            if !can_generate || !self.generate_token(index, &mut output) {
                index += 1;
            }
        }
        self.is_stepping = false;
        output
    }

    /// Generates a token. Returns true if the token completed the sequence, which was then removed.
    fn generate_token(&mut self, index: usize, output: &mut Vec<StepOutput>) -> bool {
        let sequence = &mut self.running[index];
        if sequence.generated_tokens == 0 {
            self.cache.mark_computed(&sequence.chain);
        }
        sequence.generated_tokens += 1;
        self.cache.generated_tokens += 1;
        let (call, is_first) = (sequence.call, sequence.generated_tokens == 1);
        let is_complete = sequence.generated_tokens >= sequence.output_tokens;
        if is_first || is_complete || sequence.generated_tokens.is_multiple_of(self.engine.tokens_per_event) {
            output.push(StepOutput::Event { call, is_first });
        }
        if is_complete {
            output.push(StepOutput::End { call });
            let sequence = self.running.remove(index);
            self.cache.release(&sequence);
        }
        is_complete
    }

    /// Moves the newest of the least urgent sequences back to the queue if its index is above `index`;
    /// its tokens are computed again later. Returns false if there is no such sequence.
    fn preempt_behind(&mut self, index: usize) -> bool {
        let order = |index: &usize| (self.running[*index].urgency, self.running[*index].arrival);
        let victim = (0..self.running.len()).max_by_key(order).filter(|victim| *victim > index);
        let Some(victim) = victim else { return false };
        let mut sequence = self.running.remove(victim);
        self.cache.release(&sequence);
        sequence.output_tokens -= sequence.generated_tokens.min(sequence.output_tokens - 1);
        sequence.generated_tokens = 0;
        self.counts.preempted += 1;
        self.waiting.push(sequence);
        true
    }

    /// Crashes the worker and returns the indices of the calls that it had.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_crashed = true;
        self.running.drain(..).chain(self.waiting.drain(..)).map(|sequence| sequence.call).collect()
    }
}

/// Returns the prefill time of a chunk that follows `computed` tokens, in milliseconds.
fn prefill_ms(engine: &EngineProfile, computed: u32, chunk: u32) -> f64 {
    let (computed, chunk) = (f64::from(computed), f64::from(chunk));
    chunk / engine.prefill_tokens_per_ms + chunk * (computed + chunk / 2.0) / 1e6 * engine.attention_ms
}
