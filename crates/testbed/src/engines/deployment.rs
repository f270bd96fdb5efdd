//! The emulated deployments: engines, fronts and kinds of calls.

/// The speed and the capacity of an inference engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// The number of calls that run at the same time.
    pub slots: usize,
    /// The number of calls that may wait for a slot.
    pub queue_capacity: usize,
    /// The fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// The time that each decoding call adds to a step, in milliseconds.
    pub slot_ms: f64,
    /// The time that each thousand context tokens of decoding calls add to a step, in milliseconds.
    pub context_ms: f64,
    /// The number of prompt tokens that prefill computes in a millisecond, without attention.
    pub prefill_tokens_per_ms: f64,
    /// The time of prefill attention for a million pairs of tokens, in milliseconds.
    pub attention_ms: f64,
    /// The delay of the first event and of the end of a response, without the network, in milliseconds.
    pub response_ms: f64,
    /// The number of tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// The maximum number of prompt tokens that one step computes.
    pub prefill_chunk: u32,
    /// The capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
}

/// A log-normal distribution of sizes, clamped to the range from 1 to `max`.
#[derive(Clone, Copy, Debug)]
pub struct SizeDistribution {
    /// The mean before clamping.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// The largest size.
    pub max: f64,
}

/// A kind of call. Each prompt has three segments: a shared head, a shared subject and a segment unique
/// to the call.
#[derive(Clone, Copy, Debug)]
pub struct CallKind {
    /// The name of the kind in the report.
    pub name: &'static str,
    /// The number of calls per second.
    pub rate: f64,
    /// The time to the first event within which a call has its full utility, in milliseconds.
    pub latency_target_ms: u64,
    /// The time after which the client gives up, in milliseconds after the call was sent.
    pub time_limit_ms: u64,
    /// The rank of the calls in queues; 0 is the most urgent.
    pub urgency: u8,
    /// The utility of a call that meets its latency target.
    pub utility: f64,
    /// The fraction of `utility` that a complete but late call has.
    pub late_utility_fraction: f64,
    /// The size of a shared head, in tokens.
    pub head: SizeDistribution,
    /// The number of shared heads.
    pub heads: u64,
    /// The size of a shared subject, in tokens.
    pub subject: SizeDistribution,
    /// The number of shared subjects.
    pub subjects: u64,
    /// The size of the segment unique to the call, in tokens.
    pub unique: SizeDistribution,
    /// The number of events in the response.
    pub events: SizeDistribution,
    /// The size of the request body, in bytes.
    pub request_bytes: u32,
}

/// The size of a deployment, its engines and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name of the deployment on the command line.
    pub name: &'static str,
    /// The number of zones; fronts and workers are spread evenly over them.
    pub zones: usize,
    /// The number of nodes that accept calls.
    pub fronts: usize,
    /// The number of model workers.
    pub workers: usize,
    /// The one-way network delay between zones, in milliseconds.
    pub cross_zone_ms: f64,
    /// The longest gap within a stream that costs no utility, in milliseconds.
    pub max_stream_gap_ms: u64,
    /// The engine of each worker.
    pub engine: EngineProfile,
    /// The kinds of calls: drafts, chats and summaries, in this order.
    pub kinds: [CallKind; 3],
}

/// Returns a distribution of sizes.
const fn size(mean: f64, sigma: f64, max: f64) -> SizeDistribution {
    SizeDistribution { mean, sigma, max }
}

/// Returns a kind of call with the defaults of all kinds; prompt and response sizes are yet to be set.
const fn kind(name: &'static str, rate: f64, latency_target_ms: u64, urgency: u8, utility: f64) -> CallKind {
    CallKind {
        name,
        rate,
        latency_target_ms,
        time_limit_ms: 10_000,
        urgency,
        utility,
        late_utility_fraction: 0.1,
        head: size(0.0, 0.0, 0.0),
        heads: 1,
        subject: size(0.0, 0.0, 0.0),
        subjects: 1,
        unique: size(0.0, 0.0, 0.0),
        events: size(0.0, 0.0, 0.0),
        request_bytes: 0,
    }
}

const fn draft(rate: f64, subjects: u64, late_utility_fraction: f64) -> CallKind {
    CallKind {
        late_utility_fraction,
        time_limit_ms: 12_000,
        head: size(512.0, 0.4, 1_280.0),
        subject: size(4_870.0, 0.7, 14_600.0),
        subjects,
        unique: size(6_610.0, 1.4, 54_600.0),
        events: size(54.6, 0.44, 160.0),
        request_bytes: 12_000,
        ..kind("draft", rate, 600, 0, 3.0)
    }
}

const fn chat(rate: f64, heads: u64, subjects: u64, late_utility_fraction: f64, latency_target_ms: u64) -> CallKind {
    CallKind {
        late_utility_fraction,
        head: size(119.0, 0.4, 298.0),
        heads,
        subject: size(79.4, 0.7, 238.0),
        subjects,
        unique: size(628.0, 1.0, 3_310.0),
        events: size(41.6, 0.69, 136.0),
        request_bytes: 830,
        ..kind("chat", rate, latency_target_ms, 1, 2.0)
    }
}

const fn summary(rate: f64, subjects: u64, late_utility_fraction: f64) -> CallKind {
    CallKind {
        late_utility_fraction,
        time_limit_ms: 2_500,
        head: size(341.0, 0.4, 851.0),
        heads: 40,
        subject: size(227.0, 0.7, 681.0),
        subjects,
        unique: size(1_800.0, 1.3, 6_870.0),
        events: size(3.22, 1.4, 12.9),
        request_bytes: 2_400,
        ..kind("summary", rate, 1_000, 2, 1.0)
    }
}

impl Deployment {
    /// Mtatsminda: 6 fronts, 18 workers and low latency between zones.
    pub const MTATSMINDA: Deployment = Deployment {
        name: "mtatsminda",
        zones: 3,
        fronts: 6,
        workers: 18,
        cross_zone_ms: 0.5,
        max_stream_gap_ms: 300,
        engine: EngineProfile {
            slots: 48,
            queue_capacity: 144,
            step_ms: 2.97,
            slot_ms: 0.0222,
            context_ms: 0.00407,
            prefill_tokens_per_ms: 101.0,
            attention_ms: 0.184,
            response_ms: 5.0,
            tokens_per_event: 7,
            prefill_chunk: 2048,
            kv_cache_tokens: 623_126,
        },
        kinds: [draft(31.7, 218, 0.1), chat(60.0, 20, 414, 0.1, 500), summary(54.8, 378, 0.1)],
    };

    /// Derwent: 9 fronts, 9 workers and higher latency between zones.
    pub const DERWENT: Deployment = Deployment {
        name: "derwent",
        zones: 3,
        fronts: 9,
        workers: 9,
        cross_zone_ms: 1.4,
        max_stream_gap_ms: 300,
        engine: EngineProfile {
            slots: 64,
            queue_capacity: 192,
            step_ms: 2.77,
            slot_ms: 0.0145,
            context_ms: 0.00762,
            prefill_tokens_per_ms: 85.2,
            attention_ms: 0.275,
            response_ms: 0.75,
            tokens_per_event: 7,
            prefill_chunk: 2048,
            kv_cache_tokens: 591_366,
        },
        kinds: [draft(15.8, 89, 0.5), chat(43.6, 8, 370, 0.5, 600), summary(28.5, 242, 0.5)],
    };

    /// Aspenline: 90 fronts and 112 workers, with long and short prompts of the same urgency.
    pub const ASPENLINE: Deployment = Deployment {
        name: "aspenline",
        zones: 3,
        fronts: 90,
        workers: 112,
        cross_zone_ms: 0.5,
        max_stream_gap_ms: 400,
        engine: EngineProfile {
            slots: 64,
            queue_capacity: 192,
            step_ms: 3.03,
            slot_ms: 0.121,
            context_ms: 0.00244,
            prefill_tokens_per_ms: 92.1,
            attention_ms: 0.35,
            response_ms: 60.0,
            tokens_per_event: 8,
            prefill_chunk: 1024,
            kv_cache_tokens: 648_670,
        },
        kinds: [
            CallKind {
                latency_target_ms: 1_000,
                time_limit_ms: 15_000,
                urgency: 1,
                utility: 2.0,
                events: size(47.8, 0.44, 140.0),
                ..draft(214.0, 810, 0.3)
            },
            CallKind { urgency: 1, ..chat(0.5, 16, 100, 0.3, 500) },
            CallKind {
                latency_target_ms: 500,
                time_limit_ms: 3_000,
                urgency: 1,
                utility: 3.0,
                heads: 16,
                events: size(2.82, 1.4, 11.3),
                ..summary(571.0, 3_238, 0.3)
            },
        ],
    };

    /// Returns the deployment with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Deployment> {
        [Deployment::MTATSMINDA, Deployment::DERWENT, Deployment::ASPENLINE]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }
}
