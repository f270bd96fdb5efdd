//! The deployments that are emulated: engines, fronts and the kinds of calls.

/// How fast an engine is and how much it holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Calls that it runs at the same time.
    pub slots: usize,
    /// Calls that may wait for a slot.
    pub queue_capacity: usize,
    /// The fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// The time that each decoding call adds to a step, in milliseconds.
    pub slot_ms: f64,
    /// The time that each thousand tokens of decoding calls' context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens that prefill computes in a millisecond, apart from attention.
    pub prefill_tokens_per_ms: f64,
    /// The time that attention of prefill takes for a million pairs of tokens, in milliseconds.
    pub attention_ms: f64,
    /// The time that the first event and the end of a response take besides the network, in milliseconds.
    pub response_ms: f64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// Prompt tokens that one step computes at most.
    pub prefill_chunk: u32,
    /// Tokens that the KV cache holds.
    pub kv_cache_tokens: u64,
}

/// A log-normal distribution of sizes, cut off at both ends.
#[derive(Clone, Copy, Debug)]
pub struct SizeDistribution {
    /// The mean before the cut.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// The largest size; the smallest is 1.
    pub max: f64,
}

/// A kind of call. Its prompt has a shared head, a shared subject and a part of its own.
#[derive(Clone, Copy, Debug)]
pub struct CallKind {
    /// Its name in the report.
    pub name: &'static str,
    /// Calls a second.
    pub rate: f64,
    /// Within this time to the first event a call has its full worth, in milliseconds.
    pub latency_target_ms: u64,
    /// When the client gives up, in milliseconds after the call was sent.
    pub time_limit_ms: u64,
    /// Its rank, 0 first.
    pub urgency: u8,
    /// What a call is worth that meets its latency target.
    pub worth: f64,
    /// The share of the worth that a call earns which is complete but late.
    pub late_share: f64,
    /// The size of a shared head, in tokens.
    pub head: SizeDistribution,
    /// How many shared heads there are.
    pub heads: u64,
    /// The size of a shared subject, in tokens.
    pub subject: SizeDistribution,
    /// How many shared subjects there are.
    pub subjects: u64,
    /// The size of the part that is the call's own, in tokens.
    pub own: SizeDistribution,
    /// The number of events in the response.
    pub events: SizeDistribution,
    /// The size of the request's body, in bytes.
    pub request_bytes: u32,
}

/// The sizes of a deployment and what it is asked to do.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Zones, over which fronts and workers are spread evenly.
    pub zones: usize,
    /// Nodes that take calls.
    pub fronts: usize,
    /// Model workers.
    pub workers: usize,
    /// The one-way time between zones, in milliseconds.
    pub cross_zone_ms: f64,
    /// The longest gap within a stream that costs no worth, in milliseconds.
    pub max_stream_gap_ms: u64,
    /// The engine of each worker.
    pub engine: EngineProfile,
    /// Drafts, chats and summaries.
    pub kinds: [CallKind; 3],
}

const fn size(mean: f64, sigma: f64, max: f64) -> SizeDistribution {
    SizeDistribution { mean, sigma, max }
}

const fn kind(name: &'static str, rate: f64, latency_target_ms: u64, urgency: u8, worth: f64) -> CallKind {
    CallKind {
        name,
        rate,
        latency_target_ms,
        time_limit_ms: 10_000,
        urgency,
        worth,
        late_share: 0.1,
        head: size(0.0, 0.0, 0.0),
        heads: 1,
        subject: size(0.0, 0.0, 0.0),
        subjects: 1,
        own: size(0.0, 0.0, 0.0),
        events: size(0.0, 0.0, 0.0),
        request_bytes: 0,
    }
}

const fn draft(rate: f64, subjects: u64, late_share: f64) -> CallKind {
    CallKind {
        late_share,
        time_limit_ms: 12_000,
        head: size(512.0, 0.4, 1_280.0),
        subject: size(4_870.0, 0.7, 14_600.0),
        subjects,
        own: size(6_610.0, 1.4, 54_600.0),
        events: size(54.6, 0.44, 160.0),
        request_bytes: 12_000,
        ..kind("draft", rate, 600, 0, 3.0)
    }
}

const fn chat(rate: f64, heads: u64, subjects: u64, late_share: f64, latency_target_ms: u64) -> CallKind {
    CallKind {
        late_share,
        head: size(119.0, 0.4, 298.0),
        heads,
        subject: size(79.4, 0.7, 238.0),
        subjects,
        own: size(628.0, 1.0, 3_310.0),
        events: size(41.6, 0.69, 136.0),
        request_bytes: 830,
        ..kind("chat", rate, latency_target_ms, 1, 2.0)
    }
}

const fn summary(rate: f64, subjects: u64, late_share: f64) -> CallKind {
    CallKind {
        late_share,
        time_limit_ms: 2_500,
        head: size(341.0, 0.4, 851.0),
        heads: 40,
        subject: size(227.0, 0.7, 681.0),
        subjects,
        own: size(1_800.0, 1.3, 6_870.0),
        events: size(3.22, 1.4, 12.9),
        request_bytes: 2_400,
        ..kind("summary", rate, 1_000, 2, 1.0)
    }
}

impl Deployment {
    /// Mtatsminda: 6 fronts, 18 workers and fast links between zones.
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

    /// Derwent: 9 fronts, 9 workers and slower links between zones.
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

    /// Many fronts in front of many workers, with long and short prompts of the same urgency.
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
                worth: 2.0,
                events: size(47.8, 0.44, 140.0),
                ..draft(214.0, 810, 0.3)
            },
            CallKind { urgency: 1, ..chat(0.5, 16, 100, 0.3, 500) },
            CallKind {
                latency_target_ms: 500,
                time_limit_ms: 3_000,
                urgency: 1,
                worth: 3.0,
                heads: 16,
                events: size(2.82, 1.4, 11.3),
                ..summary(571.0, 3_238, 0.3)
            },
        ],
    };

    /// The deployment of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Deployment> {
        [Deployment::MTATSMINDA, Deployment::DERWENT, Deployment::ASPENLINE]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }
}
