/// What an engine is like.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    pub slots: usize,
    pub queue: usize,
    pub step_ms: f64,
    pub slot_ms: f64,
    pub context_ms: f64,
    pub read: f64,
    pub pairs_ms: f64,
    pub first_ms: f64,
    pub stride: u32,
    pub chunk: u32,
    pub memory: u64,
}

/// A kind of call: lognormal sizes as (mean, spread, most).
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub rate: f64,
    pub aim_ms: u64,
    pub left_ms: u64,
    pub urgency: u8,
    pub worth: f64,
    pub late: f64,
    pub head: (f64, f64, f64),
    pub heads: u64,
    pub subject: (f64, f64, f64),
    pub subjects: u64,
    pub own: (f64, f64, f64),
    pub pieces: (f64, f64, f64),
    pub bytes: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub name: &'static str,
    pub zones: usize,
    pub fronts: usize,
    pub workers: usize,
    pub cross_ms: f64,
    pub gap_ms: u64,
    pub engine: Engine,
    pub kinds: [Kind; 3],
}

const fn kind(name: &'static str, rate: f64, aim_ms: u64, urgency: u8, worth: f64) -> Kind {
    Kind {
        name,
        rate,
        aim_ms,
        left_ms: 10_000,
        urgency,
        worth,
        late: 0.1,
        head: (0.0, 0.0, 0.0),
        heads: 1,
        subject: (0.0, 0.0, 0.0),
        subjects: 1,
        own: (0.0, 0.0, 0.0),
        pieces: (0.0, 0.0, 0.0),
        bytes: 0,
    }
}

const fn draft(rate: f64, subjects: u64, late: f64) -> Kind {
    Kind {
        late,
        left_ms: 12_000,
        head: (512.0, 0.4, 1_280.0),
        subject: (4_870.0, 0.7, 14_600.0),
        subjects,
        own: (6_610.0, 1.4, 54_600.0),
        pieces: (54.6, 0.44, 160.0),
        bytes: 12_000,
        ..kind("draft", rate, 600, 0, 3.0)
    }
}

const fn chat(rate: f64, heads: u64, subjects: u64, late: f64, aim: u64) -> Kind {
    Kind {
        late,
        head: (119.0, 0.4, 298.0),
        heads,
        subject: (79.4, 0.7, 238.0),
        subjects,
        own: (628.0, 1.0, 3_310.0),
        pieces: (41.6, 0.69, 136.0),
        bytes: 830,
        ..kind("chat", rate, aim, 1, 2.0)
    }
}

const fn summary(rate: f64, subjects: u64, late: f64) -> Kind {
    Kind {
        late,
        left_ms: 2_500,
        head: (341.0, 0.4, 851.0),
        heads: 40,
        subject: (227.0, 0.7, 681.0),
        subjects,
        own: (1_800.0, 1.3, 6_870.0),
        pieces: (3.22, 1.4, 12.9),
        bytes: 2_400,
        ..kind("summary", rate, 1_000, 2, 1.0)
    }
}

impl Shape {
    pub const MTATSMINDA: Shape = Shape {
        name: "mtatsminda",
        zones: 3,
        fronts: 6,
        workers: 18,
        cross_ms: 0.5,
        gap_ms: 300,
        engine: Engine {
            slots: 48,
            queue: 144,
            step_ms: 2.97,
            slot_ms: 0.0222,
            context_ms: 0.00407,
            read: 101.0,
            pairs_ms: 0.184,
            first_ms: 5.0,
            stride: 7,
            chunk: 2048,
            memory: 623_126,
        },
        kinds: [draft(31.7, 218, 0.1), chat(60.0, 20, 414, 0.1, 500), summary(54.8, 378, 0.1)],
    };

    pub const DERWENT: Shape = Shape {
        name: "derwent",
        zones: 3,
        fronts: 9,
        workers: 9,
        cross_ms: 1.4,
        gap_ms: 300,
        engine: Engine {
            slots: 64,
            queue: 192,
            step_ms: 2.77,
            slot_ms: 0.0145,
            context_ms: 0.00762,
            read: 85.2,
            pairs_ms: 0.275,
            first_ms: 0.75,
            stride: 7,
            chunk: 2048,
            memory: 591_366,
        },
        kinds: [draft(15.8, 89, 0.5), chat(43.6, 8, 370, 0.5, 600), summary(28.5, 242, 0.5)],
    };

    /// Many fronts in front of many workers, with long and short prompts of the same urgency.
    pub const ASPENLINE: Shape = Shape {
        name: "aspenline",
        zones: 3,
        fronts: 90,
        workers: 112,
        cross_ms: 0.5,
        gap_ms: 400,
        engine: Engine {
            slots: 64,
            queue: 192,
            step_ms: 3.03,
            slot_ms: 0.121,
            context_ms: 0.00244,
            read: 92.1,
            pairs_ms: 0.35,
            first_ms: 60.0,
            stride: 8,
            chunk: 1024,
            memory: 648_670,
        },
        kinds: [
            Kind {
                aim_ms: 1_000,
                left_ms: 15_000,
                urgency: 1,
                worth: 2.0,
                pieces: (47.8, 0.44, 140.0),
                ..draft(214.0, 810, 0.3)
            },
            Kind { urgency: 1, ..chat(0.5, 16, 100, 0.3, 500) },
            Kind {
                aim_ms: 500,
                left_ms: 3_000,
                urgency: 1,
                worth: 3.0,
                heads: 16,
                pieces: (2.82, 1.4, 11.3),
                ..summary(571.0, 3_238, 0.3)
            },
        ],
    };

    pub fn named(n: &str) -> Option<Shape> {
        [Shape::MTATSMINDA, Shape::DERWENT, Shape::ASPENLINE].into_iter().find(|s| s.name == n)
    }
}
